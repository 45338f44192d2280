"""Choice of an upstream for each request."""

from catkinshunt.routing._affinity import PrefixAffinity
from catkinshunt.routing._health import HealthTracker
from catkinshunt.routing._load import LeastInFlight
from catkinshunt.routing._load import PowerOfTwoChoices
from catkinshunt.routing._load import Random
from catkinshunt.routing._named import find_policy
from catkinshunt.routing._router import Router
from catkinshunt.routing._subset import prefer_near
from catkinshunt.routing._subset import rank_upstreams
from catkinshunt.routing.base import BasePolicy
from catkinshunt.routing.base import Choice
from catkinshunt.routing.base import estimate_load
from catkinshunt.routing.base import Observation
from catkinshunt.routing.base import Result
from catkinshunt.routing.base import RouteRequest
from catkinshunt.routing.base import State
from catkinshunt.routing.base import UpstreamView

__all__ = [
    'BasePolicy',
    'Choice',
    'HealthTracker',
    'LeastInFlight',
    'Observation',
    'PowerOfTwoChoices',
    'PrefixAffinity',
    'Random',
    'Result',
    'RouteRequest',
    'Router',
    'State',
    'UpstreamView',
    'estimate_load',
    'find_policy',
    'prefer_near',
    'rank_upstreams',
]
