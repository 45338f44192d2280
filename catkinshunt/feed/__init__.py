"""Changes of the key-value service, read once for a region."""

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
    'WatchRelayServer',
    'HistoryGoneError',
    'Item',
    'Page',
    'PeerWatchSource',
    'RegionalWatchSource',
    'RelayedPage',
    'WatchCache',
    'load',
]
