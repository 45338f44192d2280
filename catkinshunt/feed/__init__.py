"""Changes of the key-value service, read once for a region."""

from catkinshunt.feed._messages import load
from catkinshunt.feed._messages import Told
from catkinshunt.feed._peer import HistoryGoneError
from catkinshunt.feed._peer import PeerFeed
from catkinshunt.feed._regional import RegionalFeed
from catkinshunt.feed._server import FeedServer
from catkinshunt.feed._view import View
from catkinshunt.feed.base import BaseFeed
from catkinshunt.feed.base import Item
from catkinshunt.feed.base import Page

__all__ = [
    'BaseFeed',
    'FeedServer',
    'HistoryGoneError',
    'Item',
    'Page',
    'PeerFeed',
    'RegionalFeed',
    'Told',
    'View',
    'load',
]
