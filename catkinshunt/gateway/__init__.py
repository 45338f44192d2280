"""HTTP gateway of an entry: routes client requests to upstreams."""

from catkinshunt.gateway._admission import decide
from catkinshunt.gateway._admission import Decision
from catkinshunt.gateway._admission import StaleError
from catkinshunt.gateway._context import Context
from catkinshunt.gateway._events import EventSplitter
from catkinshunt.gateway._exchange import Exchange
from catkinshunt.gateway._gateway import Gateway
from catkinshunt.gateway._metrics import GatewayMetrics
from catkinshunt.gateway.base import AttemptInfo
from catkinshunt.gateway.base import BaseDialect
from catkinshunt.gateway.base import ReplyInfo
from catkinshunt.gateway.base import RequestInfo

__all__ = [
    'AttemptInfo',
    'BaseDialect',
    'Context',
    'Decision',
    'EventSplitter',
    'Exchange',
    'Gateway',
    'GatewayMetrics',
    'ReplyInfo',
    'RequestInfo',
    'StaleError',
    'decide',
]
