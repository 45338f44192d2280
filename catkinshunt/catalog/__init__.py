"""What the operator declares and which upstreams are there."""

from catkinshunt.catalog._catalog import Catalog
from catkinshunt.catalog._catalog import NamedVersion
from catkinshunt.catalog._model import Declaration
from catkinshunt.catalog._model import EngineProfile
from catkinshunt.catalog._model import Origin
from catkinshunt.catalog._model import Serve
from catkinshunt.catalog._model import Service
from catkinshunt.catalog._model import Share
from catkinshunt.catalog._model import Upstream
from catkinshunt.catalog._live_entries import EntryLocation
from catkinshunt.catalog._live_entries import LiveEntries

__all__ = [
    'EntryLocation',
    'Catalog',
    'Declaration',
    'EngineProfile',
    'NamedVersion',
    'Origin',
    'LiveEntries',
    'Serve',
    'Service',
    'Share',
    'Upstream',
]
