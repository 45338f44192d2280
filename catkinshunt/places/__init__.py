"""Places at an engine, given out by the sidecar beside it."""

from catkinshunt.places._client import REPLY_TIMEOUT_S
from catkinshunt.places._client import PermitHandle
from catkinshunt.places._client import NoPermitError
from catkinshunt.places._client import PermitClient
from catkinshunt.places._client import ReloadingError
from catkinshunt.places._client import MAX_SENDS
from catkinshunt.places._ledger import LATE_MAX_WAIT_S
from catkinshunt.places._ledger import PermitAllocator
from catkinshunt.places._ledger import NO_ROOM
from catkinshunt.places._ledger import RELOADING
from catkinshunt.places._messages import PermitRequest
from catkinshunt.places._messages import PermitRelease
from catkinshunt.places._messages import dump
from catkinshunt.places._messages import PermitGranted
from catkinshunt.places._messages import load
from catkinshunt.places._messages import PermitQueued
from catkinshunt.places._messages import PermitRejected
from catkinshunt.places._messages import DecodeError
from catkinshunt.places._server import PermitServer
from catkinshunt.places.base import BaseAdmission

__all__ = [
    'REPLY_TIMEOUT_S',
    'NO_ROOM',
    'RELOADING',
    'MAX_SENDS',
    'PermitRequest',
    'PermitHandle',
    'BaseAdmission',
    'PermitRelease',
    'PermitGranted',
    'LATE_MAX_WAIT_S',
    'PermitAllocator',
    'NoPermitError',
    'PermitClient',
    'PermitServer',
    'PermitQueued',
    'PermitRejected',
    'ReloadingError',
    'DecodeError',
    'dump',
    'load',
]
