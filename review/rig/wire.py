"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
import socket
import struct
import urllib.parse

#: Longest that a stand-in waits for the rest of a message, in seconds.
READ_S = 30.0
_RESET = struct.pack('ii', 1, 0)


class Request:
    """A request that was read whole, and the connection it came on."""

    def __init__(self, first_line, headers, body, conn):
        self.method, self.target, _ = first_line.split(' ', 2)
        self.headers = headers
        self.body = body
        self.conn = conn

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """The query as a mapping."""
        return dict(urllib.parse.parse_qsl(self.target.partition('?')[2]))

    def json(self):
        """The body as JSON."""
        return json.loads(self.body or b'{}')


class Connection:
    """One connection of a server."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        #: Bytes that a faulty runner sends before its next answer.
        self.late = b''

    async def send(self, data):
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def reply(self, status, items=(), body=b''):
        """Send a whole answer with a length."""
        await self.send(dump_answer(status, items, body))

    async def reply_json(self, document, status=200):
        """Send a whole JSON answer."""
        items = [('Content-Type', 'application/json')]
        await self.reply(status, items, json.dumps(document).encode())

    def close(self):
        """Close in order, with a FIN."""
        self.writer.close()

    def reset(self):
        """Close with a reset."""
        sock = self.writer.get_extra_info('socket')
        if sock is not None and not self.writer.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.writer.transport.abort()

    @property
    def is_closed(self):
        """Whether the peer has closed it."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


def status_line(status):
    """Return the first line of an answer."""
    return f'HTTP/1.1 {status} Status'


def dump_head(first_line, items):
    """Return a head as bytes."""
    lines = [first_line, *(f'{name}: {value}' for name, value in items)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def dump_answer(status, items, body):
    """Return a whole answer with a length as bytes."""
    items = [*items, ('Content-Length', str(len(body)))]
    return dump_head(status_line(status), items) + body


def dump_chunk(data):
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


async def read_head(reader):
    """Return the first line and the headers, names in lower case."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first_line, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first_line, headers


async def read_body(reader, headers):
    """Return a body that has a length or comes in chunks; else b''."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        return b''.join([part async for part in read_chunks(reader)])
    length = int(headers.get('content-length', 0))
    return await reader.readexactly(length) if length else b''


async def read_chunks(reader):
    """Yield the chunks of a body; raises if it ends early."""
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def serve(handler, host, port):
    """Serve `handler`, a coroutine function of a `Request`.

    It answers on the connection of the request; a connection ends after a
    handler that returns False.
    """

    async def session(reader, writer):
        conn = Connection(reader, writer)
        try:
            while True:
                first_line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                req = Request(first_line, headers, body, conn)
                if await handler(req) is False:
                    return
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # The peer has gone, or sent no request, or the case has ended.
            return
        finally:
            writer.close()

    return await asyncio.start_server(session, host, port, backlog=512)


class Answer:
    """What a client got.

    Attributes:
        status: status, or None without a head.
        whole: whether the answer has come to its end as the protocol says.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b''
        self.whole = False
        self.error = ''


async def ask(address, method, target, items, body=b'', timeout_s=8.0):
    """Send one request on a new connection; return an `Answer`."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            items = [*items, ('Content-Length', str(len(body)))]
            writer.write(dump_head(f'{method} {target} HTTP/1.1', items))
            writer.write(body)
            first_line, answer.headers = await read_head(reader)
            answer.status = int(first_line.split(' ')[1])
            if 'chunked' in answer.headers.get('transfer-encoding', ''):
                async for part in read_chunks(reader):
                    answer.body += part
            else:
                answer.body = await read_body(reader, answer.headers)
            answer.whole = True
    except (OSError, EOFError, ValueError) as exc:
        answer.error = repr(exc)
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer
