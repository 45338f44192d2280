"""Own model of engines, entries and callers, in virtual time.

`python -m standins.experiment` plays loads against it and prints how much is
served in time, beside what a perfect scheduler would reach.
"""

from standins.experiment._callers import draw
from standins.experiment._callers import Load
from standins.experiment._entries import AskingEntry
from standins.experiment._entries import SendingEntry
from standins.experiment._play import play
from standins.experiment._play import Scenario
from standins.experiment._results import bound_in_time
from standins.experiment._results import capacity
from standins.experiment._results import summarize

__all__ = [
    'AskingEntry',
    'Load',
    'Scenario',
    'SendingEntry',
    'bound_in_time',
    'capacity',
    'draw',
    'play',
    'summarize',
]
