"""Orders to model engines."""

from catkinshunt.engines._http import HttpEngine
from catkinshunt.engines._weights_endpoint import WeightsEndpoint
from catkinshunt.engines.base import BaseEngine
from catkinshunt.engines.base import LoadOrder

__all__ = ['BaseEngine', 'HttpEngine', 'LoadOrder', 'WeightsEndpoint']
