"""The configuration accepted last, and how it reaches each process."""

from catkinshunt.configuration._follower import Configuration
from catkinshunt.configuration._follower import Follower
from catkinshunt.configuration._follower import KEY

__all__ = ['Configuration', 'Follower', 'KEY']
