"""Own model of engines, entries and callers, in virtual time.

`python -m catkinshunt experiment FILE` plays the loads of a scenario against
it and tells how much is served in time, beside what a perfect scheduler would
reach. `python -m standins.experiment` compares ways to choose an engine.
"""

from standins.experiment._callers import draw
from standins.experiment._callers import Load
from standins.experiment._drawing import plot
from standins.experiment._entries import AskingEntry
from standins.experiment._entries import SendingEntry
from standins.experiment._measure import measure
from standins.experiment._measure import Result
from standins.experiment._play import play
from standins.experiment._play import Scenario
from standins.experiment._results import bound_in_time
from standins.experiment._results import capacity
from standins.experiment._results import summarize
from standins.experiment._settings import ExperimentSettings
from standins.experiment._settings import SlowEngines

__all__ = [
    'AskingEntry',
    'ExperimentSettings',
    'Load',
    'Result',
    'Scenario',
    'SendingEntry',
    'SlowEngines',
    'bound_in_time',
    'capacity',
    'draw',
    'measure',
    'play',
    'plot',
    'summarize',
]
