"""Hands revised documents on among the processes of the system.

The calls over grpclib are in `catkinshunt.dissemination.peering`, which only
processes load that make them.
"""

from catkinshunt.dissemination._contacts import Contacts
from catkinshunt.dissemination._duty import Duty
from catkinshunt.dissemination._neighbours import Neighbours
from catkinshunt.dissemination._spreader import FANOUT
from catkinshunt.dissemination._spreader import PULL_PERIOD_S
from catkinshunt.dissemination._spreader import Spreader
from catkinshunt.dissemination._watcher import WAIT_S as WATCH_S
from catkinshunt.dissemination._watcher import Watcher
from catkinshunt.dissemination.base import BasePeering
from catkinshunt.dissemination.base import BaseReplica
from catkinshunt.dissemination.base import BaseSource
from catkinshunt.dissemination.base import Update

__all__ = [
    'BasePeering',
    'BaseReplica',
    'BaseSource',
    'Contacts',
    'Duty',
    'FANOUT',
    'Neighbours',
    'PULL_PERIOD_S',
    'Spreader',
    'Update',
    'WATCH_S',
    'Watcher',
]
