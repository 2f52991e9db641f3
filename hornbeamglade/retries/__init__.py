"""Retry budgets: which requests may be retried, and how many."""

from hornbeamglade.retries.budget import RetryBudget, RetrySettings

__all__ = ["RetryBudget", "RetrySettings"]
