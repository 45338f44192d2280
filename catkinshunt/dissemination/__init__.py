"""Hands revised documents on among the processes of the system.

The calls over grpclib are in `catkinshunt.dissemination.grpc_transport`, which only
processes load that make them.
"""

from catkinshunt.dissemination._peer_health import PeerHealth
from catkinshunt.dissemination._watch_election import WatchElection
from catkinshunt.dissemination._neighbours import Neighbours
from catkinshunt.dissemination._disseminator import FANOUT
from catkinshunt.dissemination._disseminator import PULL_PERIOD_S
from catkinshunt.dissemination._disseminator import Disseminator
from catkinshunt.dissemination._watcher import WAIT_S as WATCH_WAIT_S
from catkinshunt.dissemination._watcher import Watcher
from catkinshunt.dissemination.base import BasePeerTransport
from catkinshunt.dissemination.base import BaseReplica
from catkinshunt.dissemination.base import BaseSource
from catkinshunt.dissemination.base import Update

__all__ = [
    'BasePeerTransport',
    'BaseReplica',
    'BaseSource',
    'PeerHealth',
    'WatchElection',
    'FANOUT',
    'Neighbours',
    'PULL_PERIOD_S',
    'Disseminator',
    'Update',
    'WATCH_WAIT_S',
    'Watcher',
]
