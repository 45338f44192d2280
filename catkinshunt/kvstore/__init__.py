"""Client for the key-value service of the platform."""

from catkinshunt.kvstore._http import HttpKeyValueStore
from catkinshunt.kvstore.base import BaseKeyValueStore
from catkinshunt.kvstore.base import Entry

__all__ = ['BaseKeyValueStore', 'Entry', 'HttpKeyValueStore']
