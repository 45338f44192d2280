"""A server that answers a request a second time before the next one."""

import asyncio
import contextlib
import re

_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)


class RepeatingServer:
    """Sends its last answer on a connection once more before the next one.

    Args:
        answer: function of the method and target of a request, which returns
            the status and body of the answer.

    Attributes:
        calls: (method, target) of all requests.
    """

    def __init__(self, answer):
        self.answer = answer
        self.calls = []
        self._tasks = set()

    @contextlib.asynccontextmanager
    async def running(self):
        """Run it; yields its address as (host, port)."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        try:
            yield server.sockets[0].getsockname()[:2]
        finally:
            server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            await self._answer_all(reader, writer)
        finally:
            writer.transport.abort()

    async def _answer_all(self, reader, writer):
        last = b''
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = _LENGTH.search(head)
                await reader.readexactly(int(length[1]) if length else 0)
                method, target, _ = head.decode('latin-1').split(' ', 2)
                self.calls.append((method, target))
                status, body = self.answer(method, target)
                reply = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s' % (
                    status,
                    len(body),
                    body,
                )
                writer.write(last + reply)
                last = reply
