"""What happens when, in virtual time."""

import heapq
import itertools


class Events:
    """Carries out steps in order of their time.

    Examples:
        >>> events = Events()
        >>> events.at(2.0, print, 'second')
        >>> events.at(1.0, print, 'first')
        >>> events.run(until=5.0)
        first
        second
        >>> events.now
        2.0
    """

    def __init__(self):
        self.now = 0.0
        self._steps = []
        self._order = itertools.count()

    def at(self, when, step, *args):
        """Carry out `step` with `args` at a time, at once where it is over."""
        entry = (max(when, self.now), next(self._order), step, args)
        heapq.heappush(self._steps, entry)

    def after(self, delay_s, step, *args):
        """Carry out `step` with `args` in a while."""
        self.at(self.now + delay_s, step, *args)

    def run(self, until):
        """Carry out all steps up to a time."""
        while self._steps and self._steps[0][0] <= until:
            self.now, _, step, args = heapq.heappop(self._steps)
            step(*args)
