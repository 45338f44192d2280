"""Eras of the platform's store."""

import asyncio
import contextlib
import random

from catkinshunt import notifier


#: Longest random delay in seconds until a process writes its keys again, so
#: that not all of them call the store at the same time.
MAX_REWRITE_DELAY_S = 0.3


class EraMonitor:
    """Records changes of the store's era.

    The era rises when the store comes back from an older copy. What this
    process has written may be missing from it, and its leases may have ended.

    Args:
        counter: counter of changes; None to count none.
        rng: source of random numbers.

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

    def __init__(self, counter=None, rng=None):
        self.counter = counter
        self.rng = rng or random.Random()
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

    async def sleep(self, changes, timeout_s=None):
        """Wait until the keys of this process have to be written again.

        Returns a random delay after a change, or after `timeout_s` seconds
        without one.

        Args:
            changes: number of changes that the caller has handled.
            timeout_s: longest wait for a change in seconds; None for any.

        Returns:
            The number of changes, which differs from `changes` after one.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.wait_for_change(changes)
        if self.changes != changes:
            await asyncio.sleep(MAX_REWRITE_DELAY_S * self.rng.random())
        return self.changes
