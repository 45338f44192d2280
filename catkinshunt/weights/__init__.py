"""Weight distribution: manifests, chunks and the choice of sources."""

from catkinshunt.weights._agent import TransferAgent
from catkinshunt.weights._agent import TransferReport
from catkinshunt.weights._agent import TargetVersion
from catkinshunt.weights._app import ChunkApp
from catkinshunt.weights._upload_limiter import UploadLimiter
from catkinshunt.weights._link_pacer import LinkPacer
from catkinshunt.weights._live_traffic import LiveTrafficApp
from catkinshunt.weights._manifest import Manifest
from catkinshunt.weights._ordered import ChainStrategy
from catkinshunt.weights._ordered import StripedStrategy
from catkinshunt.weights._ordered import TreeStrategy
from catkinshunt.weights._rendezvous import rank
from catkinshunt.weights._store import ChunkStore
from catkinshunt.weights._swarm import SwarmStrategy
from catkinshunt.weights._timing import Timing
from catkinshunt.weights._view import Member
from catkinshunt.weights._view import PeerView
from catkinshunt.weights._view import Pull
from catkinshunt.weights._view import TransferView
from catkinshunt.weights.base import BaseStrategy
from catkinshunt.weights.base import ORIGIN

__all__ = [
    'ORIGIN',
    'BaseStrategy',
    'ChainStrategy',
    'ChunkApp',
    'ChunkStore',
    'LinkPacer',
    'LiveTrafficApp',
    'Manifest',
    'Member',
    'PeerView',
    'Pull',
    'StripedStrategy',
    'SwarmStrategy',
    'Timing',
    'TransferAgent',
    'TransferReport',
    'TransferView',
    'TreeStrategy',
    'UploadLimiter',
    'TargetVersion',
    'rank',
]
