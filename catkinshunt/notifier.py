"""Condition variable for the tasks of one event loop."""

import asyncio


class Notifier:
    """Wakes all waiting tasks, without a lock.

    A notification wakes the tasks that are waiting at that time; tasks that
    begin to wait later need another one.

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
        self._event = asyncio.Event()

    def notify_all(self):
        """Wake all waiting tasks."""
        event, self._event = self._event, asyncio.Event()
        event.set()

    async def wait(self):
        """Wait for the next notification."""
        await self._event.wait()
