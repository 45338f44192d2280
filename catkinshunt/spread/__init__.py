"""Weights from instance to instance, on the event loop of a sidecar."""

from catkinshunt.spread._agent import Agent
from catkinshunt.spread._agent import Wanted
from catkinshunt.spread._client import PeerClient
from catkinshunt.spread._fetcher import Fetcher
from catkinshunt.spread._holding import Holding
from catkinshunt.spread._holding import MANIFEST
from catkinshunt.spread._holding import Shelf
from catkinshunt.spread._peers import ChunkServer
from catkinshunt.spread._peers import Pacer
from catkinshunt.spread._peers import Turns
from catkinshunt.spread._plan import finish_older_first
from catkinshunt.spread._plan import Member
from catkinshunt.spread._plan import ORIGIN
from catkinshunt.spread._plan import Plan
from catkinshunt.spread._stage import restore
from catkinshunt.spread._stage import settle
from catkinshunt.spread.base import BaseEngine
from catkinshunt.spread.base import BaseOrigin
from catkinshunt.spread.base import BaseOutlook
from catkinshunt.spread.base import BYTES_PER_MBIT
from catkinshunt.spread.base import EngineReport
from catkinshunt.spread.base import OrderLostError

__all__ = [
    'BYTES_PER_MBIT',
    'Agent',
    'BaseEngine',
    'BaseOrigin',
    'BaseOutlook',
    'ChunkServer',
    'EngineReport',
    'Fetcher',
    'Holding',
    'MANIFEST',
    'Member',
    'ORIGIN',
    'OrderLostError',
    'Pacer',
    'PeerClient',
    'Plan',
    'Shelf',
    'Turns',
    'Wanted',
    'finish_older_first',
    'restore',
    'settle',
]
