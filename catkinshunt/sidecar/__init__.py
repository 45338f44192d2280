"""The process beside one upstream instance."""

from catkinshunt.sidecar._app import SidecarApp
from catkinshunt.sidecar._process import SidecarProcess

__all__ = ['SidecarApp', 'SidecarProcess']
