"""Control plane of a process: configuration, instances, placement."""

from catkinshunt.control._placement import choose_placement
from catkinshunt.control._placement import find_replica_names
from catkinshunt.control._placement import Placement
from catkinshunt.control._plane import ControlPlane
from catkinshunt.control._revision_middleware import RevisionMiddleware

__all__ = [
    'ControlPlane',
    'Placement',
    'RevisionMiddleware',
    'choose_placement',
    'find_replica_names',
]
