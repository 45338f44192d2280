"""Logging: short sentences with a fixed prefix per component."""

from catkinshunt.logs._configure import configure
from catkinshunt.logs._logger import get_logger
from catkinshunt.logs._logger import request
from catkinshunt.logs._outage import OutageLogger
from catkinshunt.logs._rate_limit import BackgroundStream
from catkinshunt.logs._rate_limit import LineRateLimiter

__all__ = [
    'BackgroundStream',
    'LineRateLimiter',
    'OutageLogger',
    'configure',
    'get_logger',
    'request',
]
