"""What each process needs to take part in the whole."""

from catkinshunt.control._plane import ControlPlane

__all__ = ['ControlPlane']
