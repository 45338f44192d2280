"""Keeps requests that crash their upstreams from running again."""

from catkinshunt.quarantine._fingerprint import fingerprint
from catkinshunt.quarantine._gossip import Gossip
from catkinshunt.quarantine._guard import Guard
from catkinshunt.quarantine._messages import Completion
from catkinshunt.quarantine._messages import CrashReport
from catkinshunt.quarantine._messages import dump
from catkinshunt.quarantine._messages import load
from catkinshunt.quarantine._messages import Quarantined
from catkinshunt.quarantine._quarantine import QUARANTINE_S
from catkinshunt.quarantine._quarantine import Quarantine
from catkinshunt.quarantine._quarantine import RENEW_SHARE
from catkinshunt.quarantine._quarantine import SETTLE_S

__all__ = [
    'QUARANTINE_S',
    'Completion',
    'CrashReport',
    'Gossip',
    'Guard',
    'Quarantine',
    'Quarantined',
    'RENEW_SHARE',
    'SETTLE_S',
    'dump',
    'fingerprint',
    'load',
]
