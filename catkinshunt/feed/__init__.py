"""Relayed watches on the key-value service.

One process of a region watches the service and relays its changes to the
others, so that a large value crosses each link only once.
"""

from catkinshunt.feed._messages import load
from catkinshunt.feed._messages import RelayedPage
from catkinshunt.feed._peer import HistoryGoneError
from catkinshunt.feed._peer import PeerWatchSource
from catkinshunt.feed._regional import RegionalWatchSource
from catkinshunt.feed._server import WatchRelayServer
from catkinshunt.feed._watch_cache import WatchCache
from catkinshunt.feed.base import BaseWatchSource
from catkinshunt.feed.base import Item
from catkinshunt.feed.base import Page

__all__ = [
    'BaseWatchSource',
    'HistoryGoneError',
    'Item',
    'Page',
    'PeerWatchSource',
    'RegionalWatchSource',
    'RelayedPage',
    'WatchCache',
    'WatchRelayServer',
    'load',
]
