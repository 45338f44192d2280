"""Limits of requests per second that upstreams state in their replies."""

from catkinshunt.rate_limits._bucket import TokenBucket
from catkinshunt.rate_limits._gossip import RateLimitGossip
from catkinshunt.rate_limits._limiter import RateLimitedError
from catkinshunt.rate_limits._limiter import RateLimiter
from catkinshunt.rate_limits._table import RateLimitTable
from catkinshunt.rate_limits._table import StatedLimit
from catkinshunt.rate_limits._table import UNLIMITED

__all__ = [
    'RateLimitGossip',
    'RateLimitTable',
    'RateLimitedError',
    'RateLimiter',
    'StatedLimit',
    'TokenBucket',
    'UNLIMITED',
]
