"""Applies a newer revision of the configuration at a node."""

import dataclasses
import threading

from hornbeamglade.admission import margincontrol, replicaadmission
from hornbeamglade.configuration import models
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import schedulerset
from hornbeamglade.membership import addresses, heartbeats
from hornbeamglade.membership import view as membershipview
from hornbeamglade.node import inflight, replicacatalog, runtime, siteview
from hornbeamglade.observability import logs


@dataclasses.dataclass(frozen=True, slots=True)
class _Placement:
    """The inputs from which the nodes of each team are computed."""

    revision: int
    states: tuple[tuple[str, membershipview.State], ...]


class Applier:
    """Configures every component for a newer revision, then publishes it to requests.

    :param views: holds the view that requests are checked against.
    :param catalog: the state of the known replicas.
    :param schedulers: this node's schedulers.
    :param in_flight: holds the limits of teams.
    :param beats: provides the members.
    """

    def __init__(
        self,
        views: runtime.Views,
        catalog: replicacatalog.ReplicaCatalog,
        schedulers: schedulerset.SchedulerSet,
        in_flight: inflight.InFlight,
        beats: heartbeats.Heartbeats,
    ) -> None:
        self._views = views
        self._catalog = catalog
        self._schedulers = schedulers
        self._in_flight = in_flight
        self._beats = beats
        self._lock = threading.Lock()
        self._placed: _Placement | None = None
        self.revision = 0

    def apply(self) -> None:
        """Apply a newer revision, if there is one; safe from any thread."""
        with self._lock:
            view = self._views.unpublished()
            if view is None:
                return
            before = self.revision
            self._catalog.configure(view.site.pool_by_name)
            self._schedulers.configure(scheduler_specs(view.site))
            with self._in_flight.lock:
                self._in_flight.team_limits.configure(view.team_limits())
            self._place_teams(view)
            self._views.publish(view)
            self.revision = view.revision
        logs.state_changed(
            "config", f"revision-{before}", f"revision-{view.revision}", revision=view.revision
        )

    def follow_members(self) -> None:
        """Update the nodes that share each team's limit, if they have changed."""
        view = self._views.current()
        if isinstance(view, siteview.SiteView):
            with self._lock:
                self._place_teams(view)

    def _place_teams(self, view: siteview.SiteView) -> None:
        members = self._beats.members()
        placement = _Placement(
            view.revision, tuple((each.identity.name, each.state) for each in members)
        )
        if placement == self._placed:
            return
        names_by_team = {
            team: _shard_names(view, team, members) for team in view.site.team_by_name
        }
        with self._in_flight.lock:
            for team, names in names_by_team.items():
                self._in_flight.team_limits.set_shard(team, names)
        self._placed = placement


def scheduler_specs(site: models.SiteConfiguration) -> dict[str, schedulerset.SchedulerSpec]:
    """Return the specifications of the schedulers of a site's engines, by replica.

    :param site: the site's configuration.
    """
    return {
        name: _scheduler_spec(pool, replica.memory_tokens)
        for pool in site.pool_by_name.values()
        for name, replica in pool.replica_by_name.items()
        if replica.memory_tokens is not None
    }


def _scheduler_spec(pool: models.Pool, memory_tokens: int) -> schedulerset.SchedulerSpec:
    margin = margincontrol.MarginSettings(initial=pool.admission.overflow_z)
    queue = pool.queue
    return schedulerset.SchedulerSpec(
        memory_tokens,
        replicaadmission.AdmissionSettings(margin=margin),
        queuesettings.QueueSettings(
            max_waiting=queue.max_waiting,
            team_share=min(1.0, queue.max_waiting_per_team / queue.max_waiting),
        ),
        pool.admission.policy,
    )


def _shard_names(
    view: siteview.SiteView, team: str, members: tuple[membershipview.Member, ...]
) -> tuple[str, ...]:
    smallest = view.site.addresses.per_team
    shard = addresses.shard_members(team, members, view.team_share(team), smallest)
    return tuple(member.identity.name for member in shard)
