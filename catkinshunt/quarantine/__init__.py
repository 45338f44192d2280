"""Quarantine of requests that crash their upstreams."""

from catkinshunt.quarantine._fingerprint import fingerprint
from catkinshunt.quarantine._gossip import Gossip
from catkinshunt.quarantine._guard import Guard
from catkinshunt.quarantine._messages import Completion
from catkinshunt.quarantine._messages import CrashReport
from catkinshunt.quarantine._messages import dump
from catkinshunt.quarantine._messages import load
from catkinshunt.quarantine._messages import Quarantined
from catkinshunt.quarantine._quarantine import Quarantine
from catkinshunt.quarantine._quarantine import QUARANTINE_S
from catkinshunt.quarantine._quarantine import RENEW_SHARE
from catkinshunt.quarantine._quarantine import EVALUATION_DELAY_S

__all__ = [
    'Completion',
    'CrashReport',
    'Gossip',
    'Guard',
    'QUARANTINE_S',
    'Quarantine',
    'Quarantined',
    'RENEW_SHARE',
    'EVALUATION_DELAY_S',
    'dump',
    'fingerprint',
    'load',
]
