"""Settings: JSON with comments, checked into `attrs` classes."""

from catkinshunt.settings._entry import EntrySettings
from catkinshunt.settings._problem import Problem
from catkinshunt.settings._reader import read_file
from catkinshunt.settings._reader import read_text
from catkinshunt.settings._reader import structure
from catkinshunt.settings._sections import LogSettings
from catkinshunt.settings._sections import ProcessSettings
from catkinshunt.settings._sidecar import SidecarSettings

__all__ = [
    'EntrySettings',
    'LogSettings',
    'Problem',
    'ProcessSettings',
    'SidecarSettings',
    'read_file',
    'read_text',
    'structure',
]
