"""Adapter to the users' platform.

Decodes the names of the platform's wire format, store and settings into the
package's own types. It makes no routing decisions.
"""

from catkinshunt.platform._cache_updater import CacheUpdater
from catkinshunt.platform._deploy import check_file
from catkinshunt.platform._dialect import PlatformDialect
from catkinshunt.platform._documents import InvalidDocumentError
from catkinshunt.platform._documents import parse_declaration
from catkinshunt.platform._documents import parse_upstream
from catkinshunt.platform._documents import parse_version
from catkinshunt.platform._era import EraMonitor
from catkinshunt.platform._registration import Registration
from catkinshunt.platform._settings import InstanceSettings
from catkinshunt.platform._settings import load_instance_settings
from catkinshunt.platform._settings import parse_instance_settings
from catkinshunt.platform._store import Lease
from catkinshunt.platform._store import LeaseNotFoundError
from catkinshunt.platform._store import StoreClient
from catkinshunt.watch_relay import EraChangedError
from catkinshunt.watch_relay import HistoryGoneError
from catkinshunt.watch_relay import Item
from catkinshunt.watch_relay import Page
from catkinshunt.watch_relay import Revision

__all__ = [
    'CacheUpdater',
    'EraChangedError',
    'EraMonitor',
    'HistoryGoneError',
    'InstanceSettings',
    'InvalidDocumentError',
    'Item',
    'Lease',
    'LeaseNotFoundError',
    'Page',
    'PlatformDialect',
    'Registration',
    'Revision',
    'StoreClient',
    'check_file',
    'load_instance_settings',
    'parse_declaration',
    'parse_instance_settings',
    'parse_upstream',
    'parse_version',
]
