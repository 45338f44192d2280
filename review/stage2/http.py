"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json


class Message:
    """Head and body of a request or reply; names are in lower case."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first.split(' ')[0]

    @property
    def target(self):
        return self.first.split(' ')[1]

    @property
    def status(self):
        return int(self.first.split(' ')[1])


async def read_head(reader):
    """Return the head of a message, or None at the end of a connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raise if it is cut off."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, message):
    """Read the body of a request."""
    length = int(message.headers.get('content-length') or 0)
    if length:
        message.body = await reader.readexactly(length)
    elif 'chunked' in message.headers.get('transfer-encoding', ''):
        message.body = b''.join([c async for c in read_chunks(reader)])


def dump(first, items, body=b''):
    """Return an encoded message with a Content-Length."""
    lines = [first, *(f'{name}: {value}' for name, value in items)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def reply(status, items=(), body=b''):
    """Return an encoded reply."""
    return dump(f'HTTP/1.1 {status} Status', items, body)


def reply_json(status, document):
    """Return an encoded reply with a JSON body."""
    body = json.dumps(document).encode()
    return reply(status, [('Content-Type', 'application/json')], body)


class Server:
    """Serves `handler`, a coroutine function of (message, reader, writer).

    It writes the reply and returns whether to keep the connection.
    """

    def __init__(self, handler):
        self.handler = handler
        self._writers = set()
        self._server = None

    async def start(self, host, port):
        """Listen on an address; return self."""
        self._server = await asyncio.start_server(
            self._run, host, port, backlog=1024
        )
        return self

    def crash(self):
        """Listen no more, and reset all connections."""
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Listen no more."""
        self._server.close()

    async def _run(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                keep = await self.handler(message, reader, writer)
                await writer.drain()
                if not keep:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def wait_for_close(reader):
    """Wait until the peer has closed a connection; nothing is read."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


async def ask(host, port, data, wait_s):
    """Send one request on a new connection.

    Returns:
        The reply with its body, or None if it did not come whole.
    """
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(data)
                found = await read_head(reader)
                if found is not None:
                    await read_body(reader, found)
                return found
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
