"""Compares the runs of all backend servers with the responses that callers got."""


def runs(site):
    """Return the runs of all stand-in backend servers."""
    names = [name for name in site.address_by_name if name.startswith(("engine-", "counter-"))]
    return [run | {"server": name} for name in names for run in site.ledger(name).get("runs", ())]


def runs_of_key(site, key):
    return [run for run in runs(site) if run.get("key", run.get("idempotency_key")) == key]


def check_tokens(texts):
    """Check that each token arrived once, in order, from a single generation."""
    marks = {text.split(".")[0] for text in texts}
    offsets = [int(text.split(".")[1]) for text in texts]
    assert len(marks) <= 1
    assert offsets == list(range(len(texts)))
