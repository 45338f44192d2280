"""Metrics, health and status of one process."""

from catkinshunt.metrics._exposition import expose
from catkinshunt.metrics._measured import MeasuredApp
from catkinshunt.metrics._operators import OperatorsApp
from catkinshunt.metrics._operators import start_operators
from catkinshunt.metrics._recorders import Counter
from catkinshunt.metrics._recorders import Recorder
from catkinshunt.metrics._recorders import Summary
from catkinshunt.metrics._registry import Registry

__all__ = [
    'Counter',
    'MeasuredApp',
    'OperatorsApp',
    'Recorder',
    'Registry',
    'Summary',
    'expose',
    'start_operators',
]
