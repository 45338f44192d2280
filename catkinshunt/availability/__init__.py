"""Statements of upstreams that they leave or ask for back-off."""

from catkinshunt.availability._gossip import LeaveGossip
from catkinshunt.availability._table import AvailabilityTable
from catkinshunt.availability._table import BackOff
from catkinshunt.availability._table import Leave

__all__ = ['AvailabilityTable', 'Leave', 'LeaveGossip', 'BackOff']
