"""HTTP/1.1 on asyncio, for processes with many concurrent streams."""

from catkinshunt.http1._client import BodyPart
from catkinshunt.http1._client import ClientConnection
from catkinshunt.http1._client import ConnectionLost
from catkinshunt.http1._client import EndOfReply
from catkinshunt.http1._messages import dump_chunk
from catkinshunt.http1._messages import dump_head
from catkinshunt.http1._messages import dump_reply
from catkinshunt.http1._messages import Headers
from catkinshunt.http1._messages import LAST_CHUNK
from catkinshunt.http1._messages import ReplyHead
from catkinshunt.http1._messages import Request
from catkinshunt.http1._messages import status_line
from catkinshunt.http1._pool import exchange
from catkinshunt.http1._pool import Pool
from catkinshunt.http1._request_parser import BadRequestError
from catkinshunt.http1._serve import Listener
from catkinshunt.http1._serve import make_session
from catkinshunt.http1._serve import Reply
from catkinshunt.http1._server import Limits
from catkinshunt.http1._server import LINGER_S
from catkinshunt.http1._server import ServerConnection

__all__ = [
    'BadRequestError',
    'BodyPart',
    'ClientConnection',
    'ConnectionLost',
    'EndOfReply',
    'Headers',
    'LAST_CHUNK',
    'LINGER_S',
    'Limits',
    'Listener',
    'Pool',
    'Reply',
    'ReplyHead',
    'Request',
    'ServerConnection',
    'dump_chunk',
    'dump_head',
    'dump_reply',
    'exchange',
    'make_session',
    'status_line',
]
