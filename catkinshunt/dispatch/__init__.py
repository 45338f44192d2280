"""Load balancing: choice of the upstream with the least predicted delay."""

from catkinshunt.dispatch._choice import Candidate
from catkinshunt.dispatch._choice import Chooser
from catkinshunt.dispatch._choice import first_token_s
from catkinshunt.dispatch._choice import occupancy_s
from catkinshunt.dispatch._choice import predict_delay_s
from catkinshunt.dispatch._choice import prefill_s
from catkinshunt.dispatch._correction import DelayCorrector
from catkinshunt.dispatch._client_retry import ClientRetryDetector
from catkinshunt.dispatch._state import Job
from catkinshunt.dispatch._state import Load
from catkinshunt.dispatch._state import Rank
from catkinshunt.dispatch._state import UpstreamState
from catkinshunt.dispatch._state import UpstreamTracker

__all__ = [
    'Candidate',
    'Chooser',
    'DelayCorrector',
    'Job',
    'Load',
    'Rank',
    'ClientRetryDetector',
    'UpstreamState',
    'UpstreamTracker',
    'first_token_s',
    'occupancy_s',
    'predict_delay_s',
    'prefill_s',
]
