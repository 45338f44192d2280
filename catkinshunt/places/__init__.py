"""Permits to send requests to an engine, granted by its sidecar.

A permit allows one request to be sent. The sidecar grants about as many as
the engine has slots, so that requests wait at their entries rather than in
the queue of the engine.
"""

from catkinshunt.places._allocator import LATE_MAX_WAIT_S
from catkinshunt.places._allocator import NO_ROOM
from catkinshunt.places._allocator import PermitAllocator
from catkinshunt.places._allocator import RELOADING
from catkinshunt.places._client import MAX_SENDS
from catkinshunt.places._client import NoPermitError
from catkinshunt.places._client import PermitClient
from catkinshunt.places._client import PermitHandle
from catkinshunt.places._client import ReloadingError
from catkinshunt.places._client import REPLY_TIMEOUT_S
from catkinshunt.places._messages import DecodeError
from catkinshunt.places._messages import dump
from catkinshunt.places._messages import load
from catkinshunt.places._messages import PermitGranted
from catkinshunt.places._messages import PermitQueued
from catkinshunt.places._messages import PermitRejected
from catkinshunt.places._messages import PermitRelease
from catkinshunt.places._messages import PermitRequest
from catkinshunt.places._server import PermitServer
from catkinshunt.places.base import BasePermitAdmission

__all__ = [
    'LATE_MAX_WAIT_S',
    'MAX_SENDS',
    'NO_ROOM',
    'RELOADING',
    'REPLY_TIMEOUT_S',
    'BasePermitAdmission',
    'DecodeError',
    'NoPermitError',
    'PermitAllocator',
    'PermitClient',
    'PermitGranted',
    'PermitHandle',
    'PermitQueued',
    'PermitRejected',
    'PermitRelease',
    'PermitRequest',
    'PermitServer',
    'ReloadingError',
    'dump',
    'load',
]
