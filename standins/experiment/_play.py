"""Plays a load against engines, entries and sidecars."""

import itertools
import random

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt import permits
from standins.experiment import _callers
from standins.experiment import _doors
from standins.experiment import _engines
from standins.experiment import _entries
from standins.experiment import _events

#: Seconds after the last request until a play ends.
TAIL_S = 20.0


@attrs.frozen
class Scenario:
    """What there is, and what goes wrong.

    Attributes:
        load: `Load`.
        entries: number of entries.
        engines: number of engines.
        make_entry: class of the entries.
        make_ledger: function that returns the ledger of a sidecar.
        weights: share of the load by entry; equal shares if None.
        faults: pairs of a time and a function of the `Play`.
        seed: decides the requests.
        profile: how the engines work.
    """

    load: _callers.Load
    entries: int = 5
    engines: int = 6
    make_entry: object = _entries.AskingEntry
    make_ledger: object = permits.PermitAllocator
    weights: tuple | None = None
    faults: tuple = ()
    seed: int = 1
    profile: catalogs.EngineProfile = _engines.PROFILE


class Play:
    """One play of a scenario.

    Args:
        scenario: `Scenario`.
    """

    def __init__(self, scenario):
        self.scenario = scenario
        self.profile = scenario.profile
        self.events = _events.Events()
        self.rng = random.Random(scenario.seed)
        self.requests = _callers.draw(scenario.load, self.rng)
        upstreams = [
            catalogs.Upstream(
                f'u{n}',
                'model',
                (f'10.0.0.{n}', 80),
                'a',
                slots=self.profile.slots,
            )
            for n in range(scenario.engines)
        ]
        self.engines = {
            u.id: _engines.Engine(self.events, u, self.profile)
            for u in upstreams
        }
        self.doors = {
            name: _doors.Door(self.events, engine, scenario.make_ledger())
            for name, engine in self.engines.items()
        }
        self.entries = [
            scenario.make_entry(self, f'e{n}') for n in range(scenario.entries)
        ]
        self._numbers = itertools.count()

    def run(self):
        """Play to the end; return the requests."""
        for request in self.requests:
            self.events.at(request.born, self._come, request)
        for when, fault in self.scenario.faults:
            self.events.at(when, fault, self)
        self.events.run(self.scenario.load.seconds + TAIL_S)
        return self.requests

    def listed(self):
        """Return the upstreams that are listed."""
        return [e.upstream for e in self.engines.values() if not e.lost]

    def next_number(self):
        """Return a number for an ask."""
        return next(self._numbers)

    def come_back(self, request, retry_s):
        """Let a caller that was refused come back, or give up."""
        if not request.tries_left:
            request.outcome = 'refused'
            return
        request.tries_left -= 1
        left_s = request.deadline - self.events.now
        wait_s = min(retry_s, left_s * _callers.WAIT_SHARE)
        self.events.after(
            0.0 if request.hasty else wait_s, self._come, request
        )

    def restart(self, entry_number):
        """Replace an entry by one that knows nothing.

        Its callers lose their requests; what it held comes free.
        """
        old = self.entries[entry_number]
        for request in self.requests:
            if request.entry is old and request.asked_at <= self.events.now:
                if not request.outcome and request.engine is not None:
                    request.engine.drop(request)
                    request.outcome = 'lost'
        self.entries[entry_number] = self.scenario.make_entry(
            self, f'{old.name}+'
        )

    def silence(self, names):
        """Let the sidecars of the engines `names` give no answers."""
        for name in names:
            self.doors[name].is_unresponsive = True

    def end_silence(self):
        """Let silent sidecars answer again; they know nothing of before."""
        for door in self.doors.values():
            if door.is_unresponsive:
                door.start_again(self.scenario.make_ledger())

    def _come(self, request):
        if request.outcome:
            return
        (entry,) = self.rng.choices(self.entries, self.scenario.weights)
        request.begin(self.events.now, entry)
        self.events.after(
            request.leaves_after_s, self._leave, request, request.asked_at
        )
        self.events.at(request.deadline, self._give_up, request)
        entry.come(request)

    def _leave(self, request, asked_at):
        """Let a caller leave that got no token for too long."""
        is_same = request.asked_at == asked_at
        if is_same and request.first_at is None:
            self._end(request, 'left')

    def _give_up(self, request):
        self._end(request, 'too late')

    def _end(self, request, outcome):
        if not request.outcome:
            request.end(outcome)


def play(scenario):
    """Play a `Scenario`; return its requests with their outcomes."""
    return Play(scenario).run()
