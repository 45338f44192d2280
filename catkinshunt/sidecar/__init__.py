"""The sidecar: forwards requests to one upstream and places its weights."""

from catkinshunt.sidecar._app import SidecarApp
from catkinshunt.sidecar._process import SidecarProcess

__all__ = ['SidecarApp', 'SidecarProcess']
