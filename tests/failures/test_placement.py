"""One node places models on engines by orders, while streams are running."""

import signal

WANTED = {"models": ["draft", "reply", "summary"], "role": "mixed"}


def _wanting(site):
    base = site.base()
    base["pools"]["drafters"]["wanted"] = WANTED
    return base


def _present(site, engine):
    return set(site.orders(engine)["present"]["models"])


def test_a_new_model_is_loaded_everywhere_though_the_placing_node_dies(start):
    """An operator adds a model to every engine of a pool.

    The node that holds the pool's lease is killed right after the change; another one
    acquires the lease, reads the engines' state and completes the change. A stream that
    runs meanwhile is complete.
    """
    site, _ = start(engines=2, services=0)
    reply = site.caller(0).stream("letter", 120)
    reply.read_tokens(1)
    site.apply(_wanting(site), based_on=1, change_id="c2")
    site.wait_until(lambda: site.is_in_force(2), "revision 2")
    site.wait_until(lambda: _placing_node(site) is not None, "a node to place")
    placing = _placing_node(site)
    if placing != "entry-0":
        site.signal(placing, signal.SIGKILL)
    site.wait_until(
        lambda: all("summary" in _present(site, f"engine-{n}") for n in range(2)),
        "the model at every engine",
        90.0,
    )
    reply.read_all()
    assert (len(reply.texts), reply.is_done) == (120, True)


def _placing_node(site):
    for name in site.node_names:
        rows = site.status(name).get("placements", ())
        if any(row["reason"] != "not_candidate" for row in rows):
            return name
    return None
