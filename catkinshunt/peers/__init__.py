"""RPC between processes of a deployment, over grpclib."""

from catkinshunt.peers._client import PeerClient
from catkinshunt.peers._loop import LoopThread
from catkinshunt.peers._loop import run_blocking
from catkinshunt.peers._pool import PeerPool
from catkinshunt.peers._server import PeerServer

__all__ = [
    'LoopThread',
    'PeerClient',
    'PeerPool',
    'PeerServer',
    'run_blocking',
]
