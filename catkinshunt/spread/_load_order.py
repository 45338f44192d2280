"""Orders one load, so that no chunk is loaded long after it turned bad."""

import asyncio

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import _staging
from catkinshunt.spread import base

#: Longest time in seconds for which a staged chunk may have been bad when the
#: engine accepts the order. Chunks turn bad at any time, also right after a
#: comparison.
MAX_BAD_S = 3.0
#: Longest time from the start of the comparison to the order. The rest of
#: `MAX_BAD_S` is for connecting to the engine and for its reply.
MAX_AGE_AT_ORDER_S = 0.9
#: Comparisons in a row that take longer than that before the order is sent
#: all the same. Otherwise an engine with slow replies would never load.
MAX_SLOW_COMPARISONS = 2
#: Pause before an order without a reply is sent again.
ORDER_RETRY_S = 0.3

_log = logs.get_logger('agent')


class LoadOrder:
    """The order to load one version, until the engine has accepted it.

    The engine loads the chunks that are staged when it accepts the order. An
    order without a reply may be accepted at any later time, so the staged
    chunks are compared and repaired again before each repetition. The caller
    keeps other tasks from writing to the staging area: chunks of a newer
    version would lead to mixed weights.

    Args:
        chunk_store: the complete `ChunkStore` of the version.
        engine: `base.BaseEngine`.
        clock: returns seconds on a clock that also counts suspends.

    Attributes:
        sent_at: time of the first order, None before it.
        age_s: seconds from the start of the comparison before the accepted
            order until the acceptance was known, None before that.
        damaged: indices of the chunks that may have been bad for more than
            `MAX_BAD_S` when the engine accepted the order.
    """

    def __init__(self, chunk_store, engine, clock):
        self.chunk_store = chunk_store
        self.engine = engine
        self.clock = clock
        self.sent_at = None
        self.age_s = None
        self.damaged = set()
        self._may_be_accepted = False
        self._accepted_at = None
        self._compared_at = None
        self._slow_comparisons = 0
        # Repaired chunks that an earlier order may have met, and the start of
        # the comparison before the repair.
        self._doubtful = set()
        self._doubtful_since = None

    async def run(self):
        """Send the order until the engine has accepted it.

        Raises:
            errors.CatkinshuntError: the engine does not answer or rejects the
                order, and has accepted none.
        """
        while not self._is_proven():
            try:
                await self._step()
            except errors.CatkinshuntError as exc:
                if not self._may_be_accepted:
                    raise
                _log.warning(
                    'Whether the engine loads version {} of {} is unknown: '
                    '{}; retrying after {} s.',
                    self.chunk_store.version,
                    self.chunk_store.model,
                    exc,
                    ORDER_RETRY_S,
                )
                await asyncio.sleep(ORDER_RETRY_S)

    def _is_proven(self):
        """Return whether the loaded chunks are known to match or not."""
        return (
            self._accepted_at is not None
            and self._accepted_at - self._compared_at <= MAX_BAD_S
        )

    async def _step(self):
        await self._compare()
        if self._doubtful:
            await self._resolve_doubtful()
        if self._accepted_at is None and self._may_send(self.clock()):
            await self._send()

    async def _compare(self):
        """Compare the staged chunks with the version; replace bad ones."""
        began_at = self.clock()
        replaced = []
        try:
            await _staging.verify_staged(
                self.chunk_store, self.engine, replaced
            )
        finally:
            # A comparison that fails may have replaced chunks before.
            self._note_replaced(replaced, self.clock())
        ended_at = self.clock()
        self._compared_at = began_at
        if ended_at - began_at <= MAX_AGE_AT_ORDER_S:
            self._slow_comparisons = 0
            return
        self._slow_comparisons += 1
        _log.warning(
            'Comparing the staged chunks of version {} of {} took long.',
            self.chunk_store.version,
            self.chunk_store.model,
            took_s=round(ended_at - began_at, 3),
        )

    def _note_replaced(self, replaced, now):
        if self._may_be_accepted and now - self._compared_at > MAX_BAD_S:
            self._doubtful.update(replaced)
            self._doubtful_since = self._compared_at

    async def _resolve_doubtful(self):
        """Decide whether an order was accepted before the repair."""
        if self._accepted_at is None and await self._has_accepted():
            self._note_accepted(self.clock(), self._doubtful_since)
        if self._accepted_at is not None:
            self.damaged |= self._doubtful
        self._doubtful.clear()

    def _may_send(self, now):
        """Return whether the comparison is recent enough for an order."""
        return (
            now - self._compared_at <= MAX_AGE_AT_ORDER_S
            or self._slow_comparisons >= MAX_SLOW_COMPARISONS
        )

    async def _send(self):
        if self.sent_at is None:
            self.sent_at = self.clock()
        try:
            await self.engine.load(
                self.chunk_store.model, self.chunk_store.version
            )
        except base.LoadOutcomeUnknownError:
            self._may_be_accepted = True
            raise
        except errors.OrderError:
            # An earlier order may be the reason of the rejection.
            if not (self._may_be_accepted and await self._has_accepted()):
                raise
        self._may_be_accepted = True
        self._note_accepted(self.clock(), self._compared_at)

    def _note_accepted(self, now, compared_at):
        self._accepted_at = now
        self.age_s = now - compared_at

    async def _has_accepted(self):
        """Return whether the engine loads or has loaded the version."""
        report = await self.engine.report()
        served = report.versions.get(self.chunk_store.model)
        return report.is_loading or served == self.chunk_store.version
