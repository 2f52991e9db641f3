"""Which replicas get new work, and what is told of those that do not."""

from hornbeamglade.replicas import availability, evacuations, models, replicalist


def available():
    listed = replicalist.ReplicaList()
    domains = (("e0", "a"), ("e1", "b"), ("e2", "b"))
    listed.replace(
        [
            models.Replica(name, "llm", f"10.0.0.{n}:1", domain, 8, is_leaving=name == "e2")
            for n, (name, domain) in enumerate(domains, 1)
        ],
        1,
    )
    return availability.Availability(listed)


def ids(replicas):
    return [each.id for each in replicas]


def test_evacuated_domain_gets_no_work_until_it_is_taken_back():
    known = available()
    assert ids(known.usable("llm")) == ["e0", "e1"]
    assert known.take_evacuations(evacuations.Evacuations(5, frozenset("a"))) == {"a"}
    assert ids(known.usable("llm")) == ["e1"]
    assert known.refusal("e0", 0.0).code == "replica_evacuated"
    assert known.refusal("e1", 0.0) is None
    assert known.take_evacuations(evacuations.Evacuations(9)) == {"a"}
    assert ids(known.usable("llm")) == ["e0", "e1"]


def test_older_word_changes_nothing():
    known = available()
    known.take_evacuations(evacuations.Evacuations(5, frozenset("a")))
    assert not known.take_evacuations(evacuations.Evacuations(4))
    assert ids(known.usable("llm")) == ["e1"]


def test_two_domains_may_be_evacuated_at_once():
    known = available()
    known.take_evacuations(evacuations.Evacuations(5, frozenset("ab")))
    assert not known.usable("llm")
