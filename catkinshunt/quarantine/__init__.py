"""Quarantine of requests that crash their upstreams."""

from catkinshunt.quarantine._fingerprint import fingerprint
from catkinshunt.quarantine._gossip import Gossip
from catkinshunt.quarantine._guard import Guard
from catkinshunt.quarantine._messages import Completion
from catkinshunt.quarantine._messages import CrashReport
from catkinshunt.quarantine._messages import dump
from catkinshunt.quarantine._messages import load
from catkinshunt.quarantine._messages import PartsCrashReport
from catkinshunt.quarantine._messages import Quarantined
from catkinshunt.quarantine._messages import split_crash_report
from catkinshunt.quarantine._quarantine import EVALUATION_DELAY_S
from catkinshunt.quarantine._quarantine import Quarantine
from catkinshunt.quarantine._quarantine import QUARANTINE_S
from catkinshunt.quarantine._quarantine import RENEW_SHARE
from catkinshunt.quarantine._traits import part_fingerprint
from catkinshunt.quarantine._traits import Traits

__all__ = [
    'Completion',
    'CrashReport',
    'EVALUATION_DELAY_S',
    'Gossip',
    'Guard',
    'PartsCrashReport',
    'QUARANTINE_S',
    'Quarantine',
    'Quarantined',
    'RENEW_SHARE',
    'Traits',
    'dump',
    'fingerprint',
    'load',
    'part_fingerprint',
    'split_crash_report',
]
