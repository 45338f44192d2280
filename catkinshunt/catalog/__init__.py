"""The operator's declaration, the upstreams and the live entries."""

from catkinshunt.catalog._catalog import AnnouncedVersion
from catkinshunt.catalog._catalog import Catalog
from catkinshunt.catalog._live_entries import EntryLocation
from catkinshunt.catalog._live_entries import LiveEntries
from catkinshunt.catalog._model import Declaration
from catkinshunt.catalog._model import EngineProfile
from catkinshunt.catalog._model import Origin
from catkinshunt.catalog._model import Serve
from catkinshunt.catalog._model import Service
from catkinshunt.catalog._model import Share
from catkinshunt.catalog._model import Upstream

__all__ = [
    'AnnouncedVersion',
    'Catalog',
    'Declaration',
    'EngineProfile',
    'EntryLocation',
    'LiveEntries',
    'Origin',
    'Serve',
    'Service',
    'Share',
    'Upstream',
]
