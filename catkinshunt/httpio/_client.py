"""HTTP client on `http.client` with a connection pool."""

import collections
import contextlib
import http.client
import select
import socket
import threading

import attrs

from catkinshunt import errors
from catkinshunt.httpio import _response
from catkinshunt import logs

DEFAULT_TIMEOUT_S = 10.0
MAX_IDLE_PER_PEER = 64

_log = logs.get_logger('http')


@attrs.frozen
class Address:
    """Host and port of a server.

    Examples:
        >>> str(Address.parse('127.0.0.1:80'))
        '127.0.0.1:80'
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Parse ``host:port``.

        Raises:
            ValueError: `text` is not of that form.
        """
        host, _, port = text.rpartition(':')
        if not host or not port.isdigit():
            raise ValueError(f'address must be host:port, got {text!r}')
        return cls(host, int(port))

    def __str__(self):
        return f'{self.host}:{self.port}'


@attrs.frozen
class Reply:
    """A complete HTTP reply.

    Attributes:
        status: HTTP status code.
        headers: message headers with case-insensitive lookup.
        body: the complete body.
        is_delimited: whether the body has a length or chunks; if not, it may
            have been cut off.
    """

    status: int
    headers: object
    body: bytes
    is_delimited: bool = True


class _Connection(http.client.HTTPConnection):
    """A connection with TCP_NODELAY; small messages are not delayed.

    Attributes:
        last_response: `_response.StrictResponse` to the last request, or None.
    """

    response_class = _response.StrictResponse
    last_response = None

    def connect(self):
        super().connect()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def getresponse(self):
        """See `http.client.HTTPConnection`."""
        self.last_response = super().getresponse()
        return self.last_response


class ConnectionPool:
    """Pools idle connections by peer.

    A connection may be released only when its reply has been read
    completely. Otherwise a late reply could be read as the reply to the next
    request on that connection, and a caller would get another caller's
    reply.
    """

    def __init__(self, timeout_s=DEFAULT_TIMEOUT_S):
        self.timeout_s = timeout_s
        self._idle = collections.defaultdict(list)
        self._lock = threading.Lock()

    def acquire(self, address, timeout_s=None, fresh=False):
        """Return a connection and whether it is a reused one.

        Args:
            address: `Address` of the peer.
            timeout_s: socket timeout in seconds.
            fresh: return a new one, so that no request is lost because the
                peer closed an idle connection.
        """
        timeout_s = timeout_s or self.timeout_s
        conn = None if fresh else self._pop_idle(address)
        if conn is not None:
            conn.timeout = timeout_s
            conn.sock.settimeout(timeout_s)
            return conn, True
        conn = _Connection(address.host, address.port, timeout=timeout_s)
        return conn, False

    def _pop_idle(self, address):
        while True:
            with self._lock:
                idle = self._idle[address]
                conn = idle.pop() if idle else None
            if conn is None or not _is_readable(conn.sock):
                return conn
            # The peer closed it or sent unexpected data; a request on it
            # would be lost or get the wrong reply.
            conn.close()

    def release(self, address, conn):
        """Return `conn`, whose reply was read completely, to the pool."""
        if conn.sock is None:
            return
        last = conn.last_response
        if last is not None and last.has_excess:
            _log.warning(
                '{} sent data behind a reply; its connection is closed.',
                address,
            )
            conn.close()
            return
        with self._lock:
            if len(self._idle[address]) < MAX_IDLE_PER_PEER:
                self._idle[address].append(conn)
                return
        conn.close()

    def close(self):
        """Close all idle connections."""
        with self._lock:
            conns = [conn for idle in self._idle.values() for conn in idle]
            self._idle.clear()
        for conn in conns:
            conn.close()


def _is_readable(sock):
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def exchange(
    address, method, path, body=None, headers=None, timeout_s=DEFAULT_TIMEOUT_S
):
    """Send one request on a new connection; return its `Reply`.

    Raises:
        errors.RefusedError: the connection could not be opened; the request
            was not executed.
        errors.OutcomeUnknownError: the request was sent, but no complete
            reply arrived.
    """
    conn = _Connection(address.host, address.port, timeout=timeout_s)
    with contextlib.closing(conn):
        try:
            conn.connect()
        except OSError as exc:
            raise errors.RefusedError(
                f'no connection: {exc}', step='connect', peer=str(address)
            ) from exc
        try:
            conn.request(method, path, body, headers or {})
            resp = conn.getresponse()
            body = resp.read_whole()
            return Reply(resp.status, resp.headers, body, resp.is_delimited)
        except (OSError, http.client.HTTPException) as exc:
            raise errors.OutcomeUnknownError(
                f'incomplete reply: {exc!r}',
                step='exchange',
                peer=str(address),
            ) from exc
