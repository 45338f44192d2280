"""Judges the speed of sources, and of the own link."""

import collections
import math

from catkinshunt.spread import _plan

#: Share of the time of a copy after which the speed of sources is judged.
JUDGE_AFTER = 0.9
#: A source is slow that would end after this many times the time of a copy,
#: where most others end within the second number. Usual delays at the begin
#: must not count as slow: the chunks would be taken from the origin again.
SLOW_END = 2.0
USUAL_END = 1.4
#: A member gives nothing of a version where it has less than this part of what
#: most others have, and less than this part of what its link should have
#: brought; with a quarter of the link it has 0.25 of both.
SLOW_PART = 0.45
#: Peers that must have told what they have, the share of a version that most
#: must have, and the seconds after the begin from which on that is judged.
LEAST_TOLD = 3
LEAST_SHARE = 0.12
JUDGE_LINK_S = 1.0


class Speeds:
    """Follows what each source gives in one transfer.

    Args:
        clock: gives seconds on the steady clock.

    Attributes:
        given: chunks by source.
        copy_s: seconds that a whole copy takes over the own link.
    """

    def __init__(self, clock):
        self.clock = clock
        self.copy_s = math.inf
        self.given = collections.Counter()
        self._last_s = {}
        self._began = clock()

    def begin(self, copy_s):
        """Note that the transfer begins, and how long a copy takes."""
        self._began = self.clock()
        self.copy_s = copy_s

    def note(self, source):
        """Note that a source gave a chunk."""
        self.given[source] += 1
        self._last_s[source] = self._elapsed_s()

    def is_slow(self, source, left):
        """Return whether a source is far slower than most of the others.

        A member whose link is narrowed still gives a chunk now and then; all
        that wait for its share would be late with it. Where all are equally
        slow, the own link is the cause and other sources would not help.

        Args:
            source: the source.
            left: chunks that are left to each source.
        """
        if self._elapsed_s() < JUDGE_AFTER * self.copy_s:
            return False
        if left[source] < 2 or source == _plan.ORIGIN:
            return False
        others = sorted(
            self._end_s(other, left[other])
            for other in left
            if other != source
        )
        if not others:
            return False
        usual_s = others[len(others) // 2]
        return (
            self._end_s(source, left[source]) > SLOW_END * self.copy_s
            and usual_s < USUAL_END * self.copy_s
        )

    def _end_s(self, source, left):
        """Return when a source ends at its speed, in seconds from the begin.

        The time of its last chunk where nothing is left to it.
        """
        elapsed_s = self._elapsed_s()
        if not left:
            return self._last_s.get(source, elapsed_s)
        return elapsed_s * (1 + left / max(1, self.given[source]))

    def is_own_link_narrow(self, share, shares):
        """Return whether far less comes here than elsewhere.

        Others wait for what passes through this member, each for seconds.

        Args:
            share: share of the version that is here.
            shares: what other members told of theirs.
        """
        elapsed_s = self._elapsed_s()
        if not JUDGE_LINK_S <= elapsed_s <= self.copy_s:
            return False
        # One that began later than the others is no reason to leave it out.
        if share >= SLOW_PART * elapsed_s / self.copy_s:
            return False
        if len(shares) < LEAST_TOLD:
            return False
        usual = sorted(shares)[len(shares) // 2]
        return usual >= LEAST_SHARE and share < SLOW_PART * usual

    def _elapsed_s(self):
        return self.clock() - self._began
