"""What may be tried again, and how much of it."""

from catkinshunt.retries._budget import Budget
from catkinshunt.retries._policy import RetryPolicy
from catkinshunt.retries._policy import RetryDecision
from catkinshunt.retries._shares import BurstShare

__all__ = ['Budget', 'BurstShare', 'RetryPolicy', 'RetryDecision']
