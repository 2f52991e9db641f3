"""Fields of log lines that operators need, and that hold no text of callers."""

import pytest

from hornbeamglade.observability import logs


@pytest.mark.parametrize("name", ["part", "parts", "resumes", "version"])
def test_field_is_logged_and_not_withheld(name):
    """Lines on stream origins and crashing parts were withheld where they named these."""
    assert name in logs.LOGGED_FIELDS
