"""The site's forecast while owners fail and requests wait."""

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.fairness import siteforecast

URGENT, PATIENT = 10, 8


def state(priority, waiting, starts_per_s):
    return siteforecast.ClassState(priority, waiting, starts_per_s, waiting)


def make(*owners):
    clock = clocks.ManualClock(100.0)
    site = siteforecast.SiteForecast(clock)
    for owner in owners:
        site.record(owner, (state(URGENT, 10, 5.0),))
    return clock, site


def start_s(site, priority=URGENT):
    return site.start_s(priority, siteforecast.Position())


def test_less_urgent_requests_do_not_delay_an_urgent_one():
    _, site = make()
    site.record("n1", (state(URGENT, 4, 4.0), state(PATIENT, 40, 4.0)))
    assert (start_s(site, URGENT), start_s(site, PATIENT)) == (0.5, 5.5)


@pytest.mark.parametrize("starts_per_s", [0.0, 2.0])
def test_too_few_starts_give_no_forecast(starts_per_s):
    # After a start of the whole site nothing has started yet: everything would be refused.
    _, site = make()
    site.record("n1", (state(URGENT, 40, starts_per_s),))
    assert start_s(site) is None


def test_an_older_entry_that_was_passed_on_does_not_replace_a_newer_one():
    _, site = make("n1")
    site.record("n1", (state(URGENT, 90, 5.0),), age_s=0.4)
    assert start_s(site) == 2.0


def test_an_owner_that_has_served_its_queue_is_no_longer_counted():
    clock, site = make("n1", "n2")
    site.record("n2", (state(URGENT, 90, 5.0),))
    clock.advance(0.3)
    site.record("n2", ())
    assert start_s(site) == 2.0


def test_a_waiting_request_is_not_delayed_by_those_behind_it():
    """Guards against the refusal of requests that are about to start.

    Ten requests are ahead of it when it arrives, and forty arrive after it.
    """
    clock, site = make("n1")
    position = siteforecast.Position()
    assert site.start_s(URGENT, position) == 2.0
    clock.advance(1.0)
    site.record("n1", (state(URGENT, 50, 5.0),))
    assert site.start_s(URGENT, position) == 1.0


def test_entries_of_many_names_are_bounded():
    _, site = make(*range(3 * siteforecast.MAX_OWNERS))
    assert len(site.owners()) <= siteforecast.MAX_OWNERS


def test_late_requests_delay_only_those_that_will_be_late_as_well():
    """Guards against refusing requests that would be on time, and holding those that would not.

    Forty requests are late and wait behind all of their priority that can be on time.
    """
    _, site = make()
    site.record("n1", (siteforecast.ClassState(URGENT, 45, 5.0, 5),))
    assert site.start_s(URGENT, siteforecast.Position(), due_s=1.5) == 1.0
    assert site.start_s(URGENT, siteforecast.Position(), due_s=-1.0) == 9.0


def test_a_patient_class_is_forecast_to_start_when_urgent_requests_no_longer_do():
    # Surges of urgent requests end before patient ones give up. By the rate of their own
    # priority, which is low until then, requests were refused that would have been on time.
    _, site = make()
    site.record("n1", (state(URGENT, 1, 20.0), state(PATIENT, 30, 5.0)))
    assert start_s(site, PATIENT) == pytest.approx(31 / 25)
