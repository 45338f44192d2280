"""Blocking HTTP client and server, headers and WSGI helpers."""

from catkinshunt.httpio._body import iter_body
from catkinshunt.httpio._body import PIECE_BYTES
from catkinshunt.httpio._body import READ_ERRORS
from catkinshunt.httpio._client import Address
from catkinshunt.httpio._client import ConnectionPool
from catkinshunt.httpio._client import exchange
from catkinshunt.httpio._client import Reply
from catkinshunt.httpio._errors import read_error
from catkinshunt.httpio._server import HttpServer
from catkinshunt.httpio._upstream_status import UpstreamStatus
from catkinshunt.httpio._wsgi import error_response
from catkinshunt.httpio._wsgi import make_target
from catkinshunt.httpio._wsgi import read_body
from catkinshunt.httpio._wsgi import read_header
from catkinshunt.httpio._wsgi import Response
from catkinshunt.httpio import headers

__all__ = [
    'Address',
    'ConnectionPool',
    'HttpServer',
    'PIECE_BYTES',
    'READ_ERRORS',
    'Reply',
    'Response',
    'UpstreamStatus',
    'error_response',
    'exchange',
    'headers',
    'iter_body',
    'make_target',
    'read_body',
    'read_error',
    'read_header',
]
