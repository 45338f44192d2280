"""Which upstream gets a request, from what is known of their work."""

from catkinshunt.dispatch._choice import Candidate
from catkinshunt.dispatch._choice import Chooser
from catkinshunt.dispatch._choice import first_token_s
from catkinshunt.dispatch._choice import occupancy_s
from catkinshunt.dispatch._choice import predict_delay_s
from catkinshunt.dispatch._choice import prefill_s
from catkinshunt.dispatch._forecast import DelayCorrector
from catkinshunt.dispatch._returns import ReturningRequestDetector
from catkinshunt.dispatch._state import Job
from catkinshunt.dispatch._state import Load
from catkinshunt.dispatch._state import Rank
from catkinshunt.dispatch._state import UpstreamTracker
from catkinshunt.dispatch._state import UpstreamState

__all__ = [
    'Candidate',
    'Chooser',
    'DelayCorrector',
    'Job',
    'Load',
    'Rank',
    'ReturningRequestDetector',
    'UpstreamTracker',
    'UpstreamState',
    'first_token_s',
    'occupancy_s',
    'predict_delay_s',
    'prefill_s',
]
