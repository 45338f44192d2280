"""The entry on the event loop: callers on one side, upstreams on the other."""

from catkinshunt.gateway._admission import decide
from catkinshunt.gateway._admission import Decision
from catkinshunt.gateway._admission import StaleError
from catkinshunt.gateway._context import Context
from catkinshunt.gateway._events import EventSplitter
from catkinshunt.gateway._exchange import Exchange
from catkinshunt.gateway._gateway import Gateway
from catkinshunt.gateway._metrics import GatewayMetrics
from catkinshunt.gateway.base import RequestInfo
from catkinshunt.gateway.base import BaseDialect
from catkinshunt.gateway.base import AttemptInfo
from catkinshunt.gateway.base import ReplyInfo

__all__ = [
    'RequestInfo',
    'BaseDialect',
    'Context',
    'Decision',
    'EventSplitter',
    'Exchange',
    'AttemptInfo',
    'Gateway',
    'GatewayMetrics',
    'ReplyInfo',
    'StaleError',
    'decide',
]
