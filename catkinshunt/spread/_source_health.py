"""Which sources of chunks answer, as one transfer knows it."""

import collections

from catkinshunt import logs
from catkinshunt.spread import _plan

#: Seconds for which a source that gave no answer is left out, at first; for
#: a member twice as long after each further try, up to the longest. Each try
#: of one that stands still takes seconds in which its chunks wait.
BLAME_S = 1.5
MOST_BLAME_S = 12.0

_log = logs.get_logger('transfer')


class SourceHealth:
    """Leaves out sources that fail, for a while.

    Args:
        holding: the `ChunkStore` that is filled, named in log lines.
        clock: gives seconds on the steady clock.
    """

    def __init__(self, chunk_store, clock):
        self.chunk_store = chunk_store
        self.clock = clock
        self._until = {}
        self._failures = collections.Counter()
        self._failing = set()

    def is_away(self, source):
        """Return whether a source is left out now."""
        return self._until.get(source, 0) > self.clock()

    def usable(self, sources):
        """Return those that are not left out, in their order."""
        return [source for source in sources if not self.is_away(source)]

    def members_away(self):
        """Return the names of the members that are left out."""
        away = {source for source in self._until if self.is_away(source)}
        return away - {_plan.ORIGIN}

    def blame(self, source, exc):
        """Leave out a source that failed; tell of it once."""
        for_s = BLAME_S
        if source != _plan.ORIGIN:
            for_s = min(BLAME_S * 2 ** self._failures[source], MOST_BLAME_S)
        self._failures[source] += 1
        self._until[source] = self.clock() + for_s
        if source not in self._failing:
            self._failing.add(source)
            self.warn(source, exc)

    def note_answer(self, source):
        """Note that a source answers, though it has nothing yet."""
        self._failures.pop(source, None)

    def praise(self, source):
        """Note that a source gave something."""
        self.note_answer(source)
        if source in self._failing:
            self._failing.discard(source)
            _log.info('Source {} gives again.', source)

    def warn(self, source, exc):
        """Write a line on a failure."""
        _log.warning(
            'Source {} failed: {}.',
            source,
            exc,
            model=self.chunk_store.model,
            version=self.chunk_store.version,
        )
