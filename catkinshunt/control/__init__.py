"""What each process needs to take part in the whole."""

from catkinshunt.control._headers import RevisionMiddleware
from catkinshunt.control._placement import choose_placement
from catkinshunt.control._placement import find_replica_names
from catkinshunt.control._placement import Placement
from catkinshunt.control._plane import ControlPlane

__all__ = [
    'ControlPlane',
    'Placement',
    'RevisionMiddleware',
    'choose_placement',
    'find_replica_names',
]
