"""Distribution of weights between sidecars, on one event loop."""

from catkinshunt.spread._agent import Agent
from catkinshunt.spread._chunk_server import ChunkServer
from catkinshunt.spread._chunk_server import Pacer
from catkinshunt.spread._chunk_server import PriorityLock
from catkinshunt.spread._chunk_store import ChunkStore
from catkinshunt.spread._chunk_store import MANIFEST_INDEX
from catkinshunt.spread._chunk_store import VersionStore
from catkinshunt.spread._fetcher import Fetcher
from catkinshunt.spread._peer_client import PeerClient
from catkinshunt.spread._plan import finish_older_first
from catkinshunt.spread._plan import Member
from catkinshunt.spread._plan import ORIGIN
from catkinshunt.spread._plan import SourcePlan
from catkinshunt.spread._serving_state import Reason
from catkinshunt.spread._staging import restore_staged
from catkinshunt.spread._staging import verify_staged
from catkinshunt.spread.base import BaseClusterView
from catkinshunt.spread.base import BaseEngine
from catkinshunt.spread.base import BaseOrigin
from catkinshunt.spread.base import BYTES_PER_MBIT
from catkinshunt.spread.base import EngineReport
from catkinshunt.spread.base import LoadOutcomeUnknownError
from catkinshunt.spread.base import TargetVersion

__all__ = [
    'Agent',
    'BYTES_PER_MBIT',
    'BaseClusterView',
    'BaseEngine',
    'BaseOrigin',
    'ChunkServer',
    'ChunkStore',
    'EngineReport',
    'Fetcher',
    'LoadOutcomeUnknownError',
    'MANIFEST_INDEX',
    'Member',
    'ORIGIN',
    'Pacer',
    'PeerClient',
    'PriorityLock',
    'Reason',
    'SourcePlan',
    'TargetVersion',
    'VersionStore',
    'finish_older_first',
    'restore_staged',
    'verify_staged',
]
