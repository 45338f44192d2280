"""Series of requests on kept connections, whose replies are spoilt.

``python -m catkinshunt.gateway.tests.reply_series 100000`` plays so many
replies and counts what the callers got.
"""

import collections
import sys

import attrs
import hypothesis
from hypothesis import strategies as st
import loguru

from catkinshunt.gateway.tests import reply_player
from catkinshunt.gateway.tests import reply_verdicts
from catkinshunt.gateway.tests import spoilt_replies
from catkinshunt.tests import virtual_loop

#: Most bytes that the choices of one plan take.
PLAN_BYTES = 40
#: Whether a reply is sound, so that the next one uses its connection.
SOUND = (True, False, True, False, True)
#: Choices, of which the first is the simplest.
KINDS = ('plain', 'stream', 'failure', 'plain', 'stream', 'plain', 'rejected')
FRAMINGS = ('length', 'chunked') * 5 + ('close', 'last')
INTERIM = (0, 0, 0, 0, 0, 0, 1, 2)
SPOILS = (0, 0, 0, 1, 1, 2)
WAYS = ('cut', 'bit', 'drop', 'repeat', 'insert') * 10 + ('flood',)
PLACES = (
    *(None, None, None, None, None, None),
    *('before', 'joined', 'idle', 'unread', 'after', 'follows'),
)
SPLITS = (0, 0, 1, 2)
GAPS_S = (0.0, 0.001, 0.03)
ENDS = ('keep',) * 8 + ('eof', 'reset')
ONCE = (False,) * 7 + (True,)
RESUMED = (0, 0, 0, 2)


class Choices:
    """Reads choices from the bytes that the library draws.

    One draw for each plan is several times faster than one for each choice;
    zeros, to which bytes are shrunk, are the simplest choices.
    """

    def __init__(self, data):
        self.data = iter(data)

    def number(self, end):
        """Return a number in [0, `end`)."""
        return next(self.data, 0) % end

    def any_of(self, values):
        """Return one of `values`."""
        return values[self.number(len(values))]

    def spoils(self):
        """Return `spoilt_replies.Spoil` objects."""
        return tuple(self.spoil() for _ in range(self.any_of(SPOILS)))

    def spoil(self):
        """Return a `spoilt_replies.Spoil`."""
        way = self.any_of(WAYS)
        run, at, size = self.number(97), self.number(61), self.number(30)
        data = b''
        if way == 'insert':
            texts = spoilt_replies.INSERTED
            which = self.number(2 * len(texts))
            if which < len(texts):
                data = texts[which]
            else:
                data = bytes(self.number(256) for _ in range(1 + size % 3))
        return spoilt_replies.Spoil(way, run, at, size + 1, data)

    def extra(self):
        """Return a `reply_player.Extra`, or None."""
        place = self.any_of(PLACES)
        if place is None:
            return None
        return reply_player.Extra(place, self.number(4), self.spoils())

    def plan(self):
        """Return a `reply_player.Plan`."""
        is_sound = self.any_of(SOUND)
        shape = spoilt_replies.Shape(
            kind=self.any_of(KINDS),
            framing=self.any_of(FRAMINGS),
            size=self.number(21),
            order=self.number(7),
            interim=self.any_of(INTERIM),
        )
        plan = reply_player.Plan(
            shape=shape,
            once=self.any_of(ONCE),
            resumed=self.any_of(RESUMED),
            gap_s=self.any_of(GAPS_S),
            splits=tuple(
                self.number(250) * 4 for _ in range(self.any_of(SPLITS))
            ),
        )
        if is_sound:
            return plan
        return attrs.evolve(
            plan,
            end=self.any_of(ENDS),
            spoils=self.spoils(),
            extra=self.extra(),
        )


def decode(data):
    """Return the `reply_player.Plan` that bytes stand for."""
    return Choices(data).plan()


series = st.lists(
    st.binary(min_size=PLAN_BYTES, max_size=PLAN_BYTES).map(decode),
    min_size=2,
    max_size=4,
)


def fuzzed(examples):
    """Return the settings of a run."""
    return hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        report_multiple_bugs=False,
    )


def count(answers, shown=1):
    """Play until so many replies were sent; return the counts of verdicts.

    Prints the shortest cases of each fault.

    Args:
        answers: number of answers.
        shown: number of cases to print of each fault.
    """
    counts = collections.Counter()
    cases = collections.defaultdict(list)
    player = reply_player.Player(virtual_loop.VirtualClockLoop())

    @fuzzed(answers)
    @hypothesis.given(series, st.integers(1, 2))
    def run(each, upstreams):
        if counts['answers'] >= answers:
            return
        outcomes = player.play(each, upstreams)
        for outcome in outcomes:
            counts['answers'] += len(outcome.answers)
            counts['requests'] += 1
            verdict = reply_verdicts.judge(outcome, outcomes)
            counts[verdict] += 1
            if verdict in reply_verdicts.FAULTS:
                cases[verdict].append((upstreams, each, outcome))

    run()
    counts['opened'] = player.opened
    player.close()
    for verdict, found in cases.items():
        found.sort(key=lambda case: len(repr(case[1])))
        for upstreams, each, outcome in found[:shown]:
            print(verdict, upstreams, *each, outcome, sep='\n  ')
    return counts


def main():
    """Print the counts; return whether a caller got what none may get."""
    loguru.logger.remove()
    counts = count(int(sys.argv[1]))
    for name, number in sorted(counts.items()):
        print(f'{number:8d} {name}')
    return any(counts[name] for name in reply_verdicts.FAULTS)


if __name__ == '__main__':
    sys.exit(main())
