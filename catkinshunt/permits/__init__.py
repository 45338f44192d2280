"""Permits to send requests to an engine, granted by its sidecar.

A permit allows one request to be sent. The sidecar grants about as many as
the engine has slots, so that requests wait at their entries rather than in
the queue of the engine. A request is in time if its first token arrives
within the goal of its service, which the rule of the service sets; it is late
if it cannot.
"""

from catkinshunt.permits._allocator import LATE_MAX_WAIT_S
from catkinshunt.permits._allocator import NO_ROOM
from catkinshunt.permits._allocator import PermitAllocator
from catkinshunt.permits._allocator import RELOADING
from catkinshunt.permits._client import MAX_SENDS
from catkinshunt.permits._client import NoPermitError
from catkinshunt.permits._client import PermitClient
from catkinshunt.permits._client import PermitHandle
from catkinshunt.permits._client import ReloadingError
from catkinshunt.permits._client import REPLY_TIMEOUT_S
from catkinshunt.permits._messages import DecodeError
from catkinshunt.permits._messages import dump
from catkinshunt.permits._messages import EngineLeaving
from catkinshunt.permits._messages import IsolatedPermitRequest
from catkinshunt.permits._messages import load
from catkinshunt.permits._messages import PermitGranted
from catkinshunt.permits._messages import PermitQueued
from catkinshunt.permits._messages import PermitRejected
from catkinshunt.permits._messages import PermitRelease
from catkinshunt.permits._messages import PermitRequest
from catkinshunt.permits._server import PermitServer
from catkinshunt.permits.base import BasePermitAdmission

__all__ = [
    'EngineLeaving',
    'LATE_MAX_WAIT_S',
    'MAX_SENDS',
    'NO_ROOM',
    'RELOADING',
    'REPLY_TIMEOUT_S',
    'BasePermitAdmission',
    'DecodeError',
    'IsolatedPermitRequest',
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
