"""What may be tried again, and how much of it."""

from catkinshunt.retries._budget import Budget
from catkinshunt.retries._policy import RetryPolicy
from catkinshunt.retries._policy import Verdict

__all__ = ['Budget', 'RetryPolicy', 'Verdict']
