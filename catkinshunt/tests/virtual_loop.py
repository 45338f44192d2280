"""Event loop with a virtual clock, for tests without sockets."""

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    """Advances the virtual clock in place of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('all tasks wait and no timer is set')
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer if no task can run.

    Processor time does not count, so a test gives the same result on a busy
    machine.
    """

    def __init__(self):
        selector = _Selector()
        super().__init__(selector)
        self._virtual_selector = selector

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run(main):
    """Run the coroutine `main` on a `VirtualClockLoop`; return its result."""
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        return runner.run(main)
