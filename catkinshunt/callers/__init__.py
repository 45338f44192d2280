"""What the callers of a process may make it hold."""

from catkinshunt.callers._budget import CallerBudget
from catkinshunt.callers._budget import CONNECTION_BYTES
from catkinshunt.callers._budget import make_caller_budget
from catkinshunt.callers._budget import RESERVED_DESCRIPTORS
from catkinshunt.callers._budget import SMALL_BYTES
from catkinshunt.callers._budget import UNREPORTED_BYTES
from catkinshunt.callers._refusal_log import RefusalLog
from catkinshunt.callers.base import BaseHolder
from catkinshunt.callers.base import Holding

__all__ = [
    'BaseHolder',
    'CONNECTION_BYTES',
    'CallerBudget',
    'Holding',
    'RESERVED_DESCRIPTORS',
    'RefusalLog',
    'SMALL_BYTES',
    'UNREPORTED_BYTES',
    'make_caller_budget',
]
