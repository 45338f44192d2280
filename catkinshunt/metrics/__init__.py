"""Metrics, health and status of one process."""

from catkinshunt.metrics._exposition import expose
from catkinshunt.metrics._operators import OperatorsApp
from catkinshunt.metrics._recorders import Counter
from catkinshunt.metrics._recorders import Recorder
from catkinshunt.metrics._recorders import Summary
from catkinshunt.metrics._registry import Registry

__all__ = [
    'Counter',
    'OperatorsApp',
    'Recorder',
    'Registry',
    'Summary',
    'expose',
]
