"""The configuration accepted last, and how it reaches each process."""

from catkinshunt.configuration._announcing import announce
from catkinshunt.configuration._configuration import Configuration
from catkinshunt.configuration._configuration import EMPTY
from catkinshunt.configuration._configuration import KEY
from catkinshunt.configuration._differences import describe_differences
from catkinshunt.configuration._differences import read_document
from catkinshunt.configuration._differences import read_rules_file
from catkinshunt.configuration._editor import Editor
from catkinshunt.configuration._edits import Add
from catkinshunt.configuration._edits import Edit
from catkinshunt.configuration._edits import EncodedRule
from catkinshunt.configuration._edits import Move
from catkinshunt.configuration._edits import Replace
from catkinshunt.configuration._edits import Retire
from catkinshunt.configuration._replica import ConfigurationReplica
from catkinshunt.configuration._source import StoreSource
from catkinshunt.configuration._updates import apply_update
from catkinshunt.configuration._updates import make_update

__all__ = [
    'Add',
    'Configuration',
    'EMPTY',
    'Edit',
    'Editor',
    'EncodedRule',
    'KEY',
    'ConfigurationReplica',
    'Move',
    'Replace',
    'Retire',
    'StoreSource',
    'announce',
    'apply_update',
    'describe_differences',
    'make_update',
    'read_document',
    'read_rules_file',
]
