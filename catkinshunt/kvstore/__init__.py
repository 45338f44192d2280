"""Client of the platform's key-value service."""

from catkinshunt.kvstore._http import HttpKeyValueStore
from catkinshunt.kvstore.base import BaseKeyValueStore
from catkinshunt.kvstore.base import Entry

__all__ = ['BaseKeyValueStore', 'Entry', 'HttpKeyValueStore']
