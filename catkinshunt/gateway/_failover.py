"""Further attempts of a request while its first upstream sends nothing."""

import asyncio

from catkinshunt import errors


class Failover:
    """Runs further attempts while the first one waits for its reply.

    An upstream that sends nothing may be dead, or only slow. The first
    attempt is cancelled only once another upstream has begun to reply, so
    that the client still gets its answer if no other upstream replies.

    Args:
        run_attempts: coroutine function that takes this `Failover`, makes the
            further attempts and relays the reply of one of them.
        progress: the `Progress` of the request.
        parent: the `Failover` that the first attempt is part of, or None.

    Attributes:
        has_begun: whether the reply of a further attempt is being relayed.
        is_first_awaited: whether the reply of the first attempt may still be
            relayed instead.
    """

    def __init__(self, run_attempts, progress, parent=None):
        self.progress = progress
        self.parent = parent
        self._sends_before = progress.sends
        self._tried_before = set(progress.tried)
        self.has_begun = False
        self.is_first_awaited = True
        self._begun = asyncio.get_running_loop().create_future()
        self._task = asyncio.ensure_future(run_attempts(self))
        self._task.add_done_callback(_retrieve_exception)

    def begin_reply(self):
        """Record that one of the attempts begins to relay its reply."""
        if self.parent is not None:
            self.parent.begin_reply()
        self.has_begun = True
        self.is_first_awaited = False
        if not self._begun.done():
            self._begun.set_result(None)

    @property
    def failure(self):
        """The `errors.RequestError` with which all attempts ended, or None."""
        if not self._task.done() or self._task.cancelled():
            return None
        exc = self._task.exception()
        if exc is not None and not isinstance(exc, errors.RequestError):
            raise exc
        return exc

    @property
    def has_sent(self):
        """Whether one of the attempts has sent the request."""
        return self.progress.sends > self._sends_before

    async def wait_for_activity(self, conn, wait_s):
        """Wait for at most `wait_s` seconds.

        Returns earlier when the first upstream sends something, when another
        one begins to reply, or when all further attempts have ended.

        Args:
            conn: `http1.ClientConnection` to the first upstream.
            wait_s: maximum time to wait, in seconds.
        """
        own = asyncio.ensure_future(conn.wait_for_part())
        try:
            await asyncio.wait(
                (own, self._begun, self._task),
                timeout=wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            own.cancel()

    async def replace_first(self):
        """Go on without the first attempt, which has ended.

        Returns once the reply is relayed; raises the error if it fails.
        """
        self.is_first_awaited = False
        await self._task

    def cancel(self):
        """End the attempts.

        Upstreams that had no permit for them may be chosen again.
        """
        self._task.cancel()
        if not self.has_sent:
            self.progress.tried = self._tried_before


def _retrieve_exception(task):
    """Keep asyncio from logging an error that nobody awaits any more."""
    if not task.cancelled():
        task.exception()
