"""Limits of requests per second that upstreams state in their replies."""

from catkinshunt.rate_limits._table import RateLimitTable
from catkinshunt.rate_limits._table import StatedLimit

__all__ = [
    'RateLimitTable',
    'StatedLimit',
]
