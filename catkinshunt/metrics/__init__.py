"""Metrics, health checks and status of one process."""

from catkinshunt.metrics._caller_metrics import make_caller_budget
from catkinshunt.metrics._exposition import expose
from catkinshunt.metrics._instrumented import InstrumentedApp
from catkinshunt.metrics._operator_app import OperatorApp
from catkinshunt.metrics._operator_app import start_operator_server
from catkinshunt.metrics._recorders import Counter
from catkinshunt.metrics._recorders import Recorder
from catkinshunt.metrics._recorders import Summary
from catkinshunt.metrics._registry import Registry

__all__ = [
    'Counter',
    'InstrumentedApp',
    'OperatorApp',
    'Recorder',
    'Registry',
    'Summary',
    'expose',
    'make_caller_budget',
    'start_operator_server',
]
