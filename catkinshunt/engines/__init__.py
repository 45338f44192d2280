"""Orders to model engines."""

from catkinshunt.engines._http import HttpEngine
from catkinshunt.engines._slot import WeightsSlot
from catkinshunt.engines.base import BaseEngine
from catkinshunt.engines.base import LoadOrder

__all__ = ['BaseEngine', 'HttpEngine', 'LoadOrder', 'WeightsSlot']
