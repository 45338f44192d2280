"""Adapter to the users' platform; translates and decides nothing."""

from catkinshunt.feed import HistoryGoneError
from catkinshunt.feed import Item
from catkinshunt.feed import Page
from catkinshunt.platform._deploy import check_file
from catkinshunt.platform._dialect import PlatformDialect
from catkinshunt.platform._documents import read_declaration
from catkinshunt.platform._documents import read_upstream
from catkinshunt.platform._documents import read_version
from catkinshunt.platform._documents import UnreadableError
from catkinshunt.platform._membership import Membership
from catkinshunt.platform._mirror import Mirror
from catkinshunt.platform._settings import load_node_settings
from catkinshunt.platform._settings import NodeSettings
from catkinshunt.platform._settings import read_node_settings
from catkinshunt.platform._store import LeaseGoneError
from catkinshunt.platform._store import StoreClient

__all__ = [
    'HistoryGoneError',
    'Item',
    'LeaseGoneError',
    'Membership',
    'Mirror',
    'NodeSettings',
    'Page',
    'PlatformDialect',
    'StoreClient',
    'UnreadableError',
    'check_file',
    'load_node_settings',
    'read_declaration',
    'read_node_settings',
    'read_upstream',
    'read_version',
]
