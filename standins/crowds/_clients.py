"""Clients that send much, read little and stay connected."""

import asyncio
import contextlib
import re
import socket

#: A crowd has settled once the process has taken no byte of it for this long,
#: in seconds.
SETTLED_S = 1.5
#: Longest time for which a crowd sends, in seconds.
CROWD_S = 30.0
PIECE_BYTES = 64 * 1024
_STATUS = re.compile(rb'HTTP/1\.1 (\d{3}) ')
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)\r\n', re.IGNORECASE)


async def exchange(host, port, data, timeout_s):
    """Send one request; return the status of the whole reply, or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            head = await reader.readuntil(b'\r\n\r\n')
            length = _LENGTH.search(head)
            await reader.readexactly(int(length[1]) if length else 0)
            return int(_STATUS.match(head)[1])
    except (OSError, EOFError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class Crowd:
    """Connections that each send what a function of their number yields.

    They read no reply, and stay open until `leave`. One that is closed by the
    process opens no other, unless it `returns`.

    Args:
        host: address of the process.
        port: its port.
        count: number of connections.
        pieces: function of a number that yields the bytes to send.
        returns: whether a connection that is closed is replaced.
    """

    def __init__(self, host, port, count, pieces, returns=False):
        self.host = host
        self.port = port
        self.count = count
        self.pieces = pieces
        self.returns = returns
        self._clock = asyncio.get_running_loop().time
        self._last_sent_at = self._clock()
        self._socks = set()
        self._tasks = []

    async def run(self):
        """Connect and send, until no more is taken for `SETTLED_S`."""
        self._tasks = [
            asyncio.ensure_future(self._run_member(number))
            for number in range(self.count)
        ]
        until = self._clock() + CROWD_S
        while self._clock() < until:
            await asyncio.sleep(0.1)
            for task in self._tasks:
                if task.done():
                    task.result()
            if self._clock() - self._last_sent_at > SETTLED_S:
                return

    async def leave(self):
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()
        self._socks.clear()

    async def _run_member(self, number):
        while True:
            with contextlib.suppress(OSError):
                await self._send_all(number)
                return
            if not self.returns:
                return
            await asyncio.sleep(0.1)

    async def _send_all(self, number):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._socks.add(sock)
        sock.setblocking(False)
        await loop.sock_connect(sock, (self.host, self.port))
        self._last_sent_at = self._clock()
        for piece in self.pieces(number):
            for offset in range(0, len(piece), PIECE_BYTES):
                part = piece[offset : offset + PIECE_BYTES]
                await loop.sock_sendall(sock, part)
                self._last_sent_at = self._clock()
            await asyncio.sleep(0)
