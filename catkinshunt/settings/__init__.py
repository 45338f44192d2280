"""Settings of the processes, read from JSON5 files."""

from catkinshunt.settings._fields import count
from catkinshunt.settings._fields import make_field
from catkinshunt.settings._fields import positive_number
from catkinshunt.settings._fields import text
from catkinshunt.settings._load import load_document
from catkinshunt.settings._load import load_settings
from catkinshunt.settings._load import load_text
from catkinshunt.settings._load import structure
from catkinshunt.settings._model import EntrySettings
from catkinshunt.settings._model import from_validated
from catkinshunt.settings._model import OperatorSettings
from catkinshunt.settings._model import PlatformSettings
from catkinshunt.settings._model import ROLES
from catkinshunt.settings._model import SidecarSettings
from catkinshunt.settings._problem import format_value
from catkinshunt.settings._problem import Problem

__all__ = [
    'EntrySettings',
    'OperatorSettings',
    'PlatformSettings',
    'Problem',
    'ROLES',
    'SidecarSettings',
    'count',
    'format_value',
    'from_validated',
    'load_document',
    'load_settings',
    'load_text',
    'make_field',
    'positive_number',
    'structure',
    'text',
]
