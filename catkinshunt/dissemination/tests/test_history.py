"""Checks the history of revisions in force over random runs."""

import hypothesis
from hypothesis import strategies as st

from catkinshunt.dissemination.tests import fakes
from catkinshunt.dissemination.tests import test_disseminator

SIZE = 8
_NUMBERS = st.integers(0, SIZE - 1)
_STEPS = st.one_of(
    st.tuples(st.just('accept'), _NUMBERS),
    st.tuples(st.just('old read'), _NUMBERS),
    st.tuples(st.just('push'), st.just(0)),
    st.tuples(st.just('pull'), _NUMBERS),
    st.tuples(st.just('cut off'), _NUMBERS),
    st.tuples(st.just('join'), st.just(0)),
    st.tuples(st.just('die'), _NUMBERS),
    st.tuples(st.just('restart'), _NUMBERS),
)


class Run:
    """Carries out steps on a fleet and watches every revision in force."""

    def __init__(self):
        self.fleet = fakes.Fleet(SIZE)
        self.accepted = 0
        self.now = 0.0
        self.seen = dict.fromkeys(self.fleet.config_replicas, 0)

    def do(self, kind, number):
        """Carry out one step."""
        self.now += 1.0
        name = f'i{number}'
        network = self.fleet.network
        history = test_disseminator.HISTORY
        if kind == 'accept' and self.accepted < len(history) - 1:
            self.accepted += 1
            self.fleet.accept(history[self.accepted], [name], self.now)
        elif kind == 'old read':
            old = history[self.accepted // 2]
            self.fleet.accept(old, [name], self.now)
        elif kind == 'push':
            self.fleet.push(self.now)
        elif kind == 'pull':
            self.fleet.pull(self.now, [name])
        elif kind == 'cut off':
            network.groups = {f'i{n}': n > number for n in range(SIZE)}
        elif kind == 'join':
            network.groups = {}
        elif kind == 'die':
            network.dead.add(name)
        elif kind == 'restart':
            network.dead.discard(name)
            self.fleet.add(self.fleet.members[number])
            self.seen[name] = 0

    def check(self):
        """Compare what is in force with the accepted history."""
        for name, config_replica in self.fleet.config_replicas.items():
            revision = config_replica.revision
            assert revision >= self.seen[name]
            self.seen[name] = revision
            expected = test_disseminator.HISTORY[revision]
            assert config_replica.current.document == expected.document


@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
@hypothesis.given(st.lists(_STEPS, max_size=40))
def test_no_process_reverts_or_leaves_the_accepted_history(steps):
    """Links break, processes die and restart, and old reads come in late.

    A process that went back to older rules, or to rules that were never
    accepted, would answer some callers otherwise than its neighbours.
    """
    run = Run()
    for kind, number in steps:
        run.do(kind, number)
        run.check()
    run.fleet.network.groups = {}
    run.fleet.network.dead = set()
    highest = max(run.seen.values())
    test_disseminator.settle(run.fleet, highest, rounds=40, now=10_000.0)
    run.check()
    assert not run.fleet.behind(highest)
