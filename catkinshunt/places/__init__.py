"""Places at an engine, given out by the sidecar beside it."""

from catkinshunt.places._client import ANSWER_S
from catkinshunt.places._client import Asking
from catkinshunt.places._client import NoPlaceError
from catkinshunt.places._client import PlaceClient
from catkinshunt.places._client import ReloadingError
from catkinshunt.places._client import SENDS
from catkinshunt.places._ledger import LATE_WAIT_S
from catkinshunt.places._ledger import Ledger
from catkinshunt.places._ledger import NO_ROOM
from catkinshunt.places._ledger import RELOADING
from catkinshunt.places._messages import Ask
from catkinshunt.places._messages import Done
from catkinshunt.places._messages import dump
from catkinshunt.places._messages import Granted
from catkinshunt.places._messages import load
from catkinshunt.places._messages import Queued
from catkinshunt.places._messages import Refused
from catkinshunt.places._messages import DecodeError
from catkinshunt.places._server import PlaceServer
from catkinshunt.places.base import BaseDoor

__all__ = [
    'ANSWER_S',
    'NO_ROOM',
    'RELOADING',
    'SENDS',
    'Ask',
    'Asking',
    'BaseDoor',
    'Done',
    'Granted',
    'LATE_WAIT_S',
    'Ledger',
    'NoPlaceError',
    'PlaceClient',
    'PlaceServer',
    'Queued',
    'Refused',
    'ReloadingError',
    'DecodeError',
    'dump',
    'load',
]
