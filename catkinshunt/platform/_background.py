"""Runs the endless loops of a process."""

import asyncio

from catkinshunt import logs

#: Pause before a loop that failed is started again.
RESTART_S = 0.5

_log = logs.get_logger('process')


class BackgroundLoops:
    """Starts loops, and starts them again after an unexpected error.

    Without that, the task of the loop would end without a log line, and the
    process would go on with what it knew then.

    Args:
        failures: counter of the unexpected errors by loop.
    """

    def __init__(self, failures):
        self.failures = failures
        self._tasks = []

    def start(self, name, loop):
        """Run the coroutine function `loop` until `cancel`."""
        self._tasks.append(asyncio.ensure_future(self._run(name, loop)))

    def cancel(self):
        """Cancel all loops."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, name, loop):
        while True:
            try:
                await loop()
                return
            except Exception:
                self.failures.add(name)
                _log.exception(
                    'Unexpected error in loop {}; starting it again.', name
                )
            await asyncio.sleep(RESTART_S)


def make_background_loops(registry):
    """Return `BackgroundLoops` whose errors are counted in `registry`."""
    return BackgroundLoops(
        registry.counter(
            'loop_failures_total',
            'Unexpected errors of loops, each of which was started again.',
            ('loop',),
        )
    )
