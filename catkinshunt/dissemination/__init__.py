"""Gossips documents with revisions among the processes of a deployment.

The gRPC transport is in `catkinshunt.dissemination.grpc_transport`, which only
processes import that call peers.
"""

from catkinshunt.dissemination._disseminator import Disseminator
from catkinshunt.dissemination._disseminator import FANOUT
from catkinshunt.dissemination._disseminator import PULL_PERIOD_S
from catkinshunt.dissemination._neighbours import Neighbours
from catkinshunt.dissemination._peer_health import PeerHealth
from catkinshunt.dissemination._watch_election import WatchElection
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
    'Disseminator',
    'FANOUT',
    'Neighbours',
    'PULL_PERIOD_S',
    'PeerHealth',
    'Update',
    'WATCH_WAIT_S',
    'WatchElection',
    'Watcher',
]
