"""The entry: accepts requests of callers and relays the responses."""

from catkinshunt.entry._app import EntryApp
from catkinshunt.entry._process import EntryProcess
from catkinshunt.entry._request import CallerRequest

__all__ = ['CallerRequest', 'EntryApp', 'EntryProcess']
