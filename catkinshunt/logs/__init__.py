"""Log lines: short sentences with a fixed prefix for each part."""

from catkinshunt.logs._bounded import BackgroundStream
from catkinshunt.logs._bounded import LineBudget
from catkinshunt.logs._configure import configure
from catkinshunt.logs._logger import get_logger
from catkinshunt.logs._logger import request
from catkinshunt.logs._outage import Outage

__all__ = [
    'BackgroundStream',
    'LineBudget',
    'Outage',
    'configure',
    'get_logger',
    'request',
]
