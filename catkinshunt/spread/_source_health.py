"""Which sources of chunks answer, as one transfer knows it."""

import collections

from catkinshunt import logs
from catkinshunt.spread import _plan

#: Seconds for which a source that gave no answer is left out, at first; for
#: a member twice as long after each further try, up to the longest. Each try
#: of one that stands still takes seconds in which its chunks wait.
EXCLUSION_S = 1.5
MAX_EXCLUSION_S = 12.0

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
        self._excluded_until = {}
        self._failures = collections.Counter()
        self._failing = set()

    def is_excluded(self, source):
        """Return whether a source is left out now."""
        return self._excluded_until.get(source, 0) > self.clock()

    def usable(self, sources):
        """Return those that are not left out, in their order."""
        return [source for source in sources if not self.is_excluded(source)]

    def excluded_members(self):
        """Return the names of the members that are left out."""
        excluded = {
            source
            for source in self._excluded_until
            if self.is_excluded(source)
        }
        return excluded - {_plan.ORIGIN}

    def record_failure(self, source, exc):
        """Leave out a source that failed; tell of it once."""
        for_s = EXCLUSION_S
        if source != _plan.ORIGIN:
            for_s = min(
                EXCLUSION_S * 2 ** self._failures[source], MAX_EXCLUSION_S
            )
        self._failures[source] += 1
        self._excluded_until[source] = self.clock() + for_s
        if source not in self._failing:
            self._failing.add(source)
            self.log_failure(source, exc)

    def record_answer(self, source):
        """Note that a source answers, though it has nothing yet."""
        self._failures.pop(source, None)

    def record_success(self, source):
        """Note that a source gave something."""
        self.record_answer(source)
        if source in self._failing:
            self._failing.discard(source)
            _log.info('Source {} gives again.', source)

    def log_failure(self, source, exc):
        """Write a line on a failure."""
        _log.warning(
            'Source {} failed: {}.',
            source,
            exc,
            model=self.chunk_store.model,
            version=self.chunk_store.version,
        )
