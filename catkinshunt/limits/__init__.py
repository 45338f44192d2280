"""Admission control of one upstream: concurrency limit and fair queues."""

from catkinshunt.limits._admission import Admission
from catkinshunt.limits._fair import FairQueue
from catkinshunt.limits._fifo import FifoQueue
from catkinshunt.limits.base import BaseQueue
from catkinshunt.limits.base import Ticket

__all__ = ['Admission', 'BaseQueue', 'FairQueue', 'FifoQueue', 'Ticket']
