"""Instances, data centres and the platform's list of them."""

from catkinshunt.instances._directory import Directory
from catkinshunt.instances._instance import Instance

__all__ = ['Directory', 'Instance']
