"""Retry policy and retry budgets."""

from catkinshunt.retries._budget import Budget
from catkinshunt.retries._policy import RetryDecision
from catkinshunt.retries._policy import RetryPolicy
from catkinshunt.retries._shares import RetryBurstShare

__all__ = ['Budget', 'RetryBurstShare', 'RetryPolicy', 'RetryDecision']
