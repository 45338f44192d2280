"""Relayed watches on the key-value service.

One process of a region watches the service and relays its changes to the
others, so that a large value crosses each link only once. In this package,
"the service" is the key-value service, and the process through which another
one watches is its watcher. Times of pages are seconds on the boot-time clock.
"""

from catkinshunt.watch_relay._messages import load
from catkinshunt.watch_relay._messages import RelayedPage
from catkinshunt.watch_relay._peer import EraChangedError
from catkinshunt.watch_relay._peer import HistoryGoneError
from catkinshunt.watch_relay._peer import PeerWatchSource
from catkinshunt.watch_relay._regional import RegionalWatchSource
from catkinshunt.watch_relay._server import WatchRelayServer
from catkinshunt.watch_relay._watch_cache import WatchCache
from catkinshunt.watch_relay.base import BaseWatchSource
from catkinshunt.watch_relay.base import check_changes
from catkinshunt.watch_relay.base import Item
from catkinshunt.watch_relay.base import latest
from catkinshunt.watch_relay.base import Page
from catkinshunt.watch_relay.base import Revision

__all__ = [
    'BaseWatchSource',
    'EraChangedError',
    'HistoryGoneError',
    'Item',
    'Page',
    'PeerWatchSource',
    'RegionalWatchSource',
    'RelayedPage',
    'Revision',
    'WatchCache',
    'WatchRelayServer',
    'check_changes',
    'latest',
    'load',
]
