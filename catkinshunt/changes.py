"""Wakes the tasks that wait for something to change."""

import asyncio


class Changes:
    """Announces changes on one event loop.

    Each task that waits is woken by the next announcement; one that comes
    later waits for the one after it.

    Examples:
        >>> async def main():
        ...     changes = Changes()
        ...     waiting = asyncio.ensure_future(changes.wait())
        ...     await asyncio.sleep(0)
        ...     changes.announce()
        ...     await waiting
        ...     return 'woken'
        >>> asyncio.run(main())
        'woken'
    """

    def __init__(self):
        self._next = asyncio.Event()

    def announce(self):
        """Wake all that wait."""
        told, self._next = self._next, asyncio.Event()
        told.set()

    async def wait(self):
        """Return at the next announcement."""
        await self._next.wait()
