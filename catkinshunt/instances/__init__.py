"""Instances and the replica of the platform's instance list."""

from catkinshunt.instances._directory import Directory
from catkinshunt.instances._instance import Instance
from catkinshunt.instances._listing import Listing
from catkinshunt.instances._listing import read_listing
from catkinshunt.instances._source import ListSource

__all__ = ['Directory', 'Instance', 'ListSource', 'Listing', 'read_listing']
