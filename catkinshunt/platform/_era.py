"""Eras of the platform's store."""

import asyncio

from catkinshunt import notifier


class EraMonitor:
    """Records changes of the store's era.

    The era rises when the store comes back from an older copy. What this
    process has written may be missing from it, and its leases may have ended.

    Args:
        counter: counter of changes; None to count none.

    Attributes:
        era: highest era seen; None before any answer.
        changes: number of changes seen.
        changed_at: time of the latest one in seconds; None if there was none.

    Examples:
        >>> eras = EraMonitor()
        >>> eras.observe(3, now=1.0), eras.observe(4, now=2.0)
        (False, True)
        >>> eras.observe(3, now=3.0), eras.era, eras.changed_at
        (False, 4, 2.0)
    """

    def __init__(self, counter=None):
        self.counter = counter
        self.era = None
        self.changes = 0
        self.changed_at = None
        self._notifier = notifier.Notifier()

    def observe(self, era, now):
        """Record the era of an answer; return whether it has changed."""
        if self.era is None:
            self.era = era
        if era <= self.era:
            return False
        self.era = era
        self.changes += 1
        self.changed_at = now
        if self.counter is not None:
            self.counter.add()
        self._notifier.notify_all()
        return True

    async def wait_for_change(self, changes):
        """Wait until the number of changes is not `changes` any more."""
        while self.changes == changes:
            await self._notifier.wait()

    async def sleep(self, changes, timeout_s):
        """Wait for a change for at most `timeout_s` seconds.

        Args:
            changes: number of changes that the caller has handled.
            timeout_s: longest wait in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.wait_for_change(changes)
        except TimeoutError:
            return
