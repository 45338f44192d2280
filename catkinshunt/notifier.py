"""Wakes the tasks that wait for something to change."""

import asyncio


class Notifier:
    """Announces changes on one event loop.

    Each task that waits is woken by the next announcement; one that comes
    later waits for the one after it.

    Examples:
        >>> async def main():
        ...     changes = Notifier()
        ...     waiting = asyncio.ensure_future(changes.wait())
        ...     await asyncio.sleep(0)
        ...     changes.notify_all()
        ...     await waiting
        ...     return 'woken'
        >>> asyncio.run(main())
        'woken'
    """

    def __init__(self):
        self._next = asyncio.Event()

    def notify_all(self):
        """Wake all that wait."""
        told, self._next = self._next, asyncio.Event()
        told.set()

    async def wait(self):
        """Return at the next announcement."""
        await self._next.wait()
