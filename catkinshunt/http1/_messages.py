"""Data structures and encoding of HTTP/1.1 messages."""

import attrs

#: Headers that apply to one connection only; they are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    [
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ]
)
#: Headers for the framing of a message; each sender sets its own.
FRAMING_HEADERS = frozenset(['content-length', 'expect'])

REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    408: 'Request Timeout',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class Headers:
    """Header fields in order of arrival, with case-insensitive names.

    Examples:
        >>> headers = Headers([('Host', 'a'), ('Connection', 'X-Hop, close')])
        >>> headers.get('host')
        'a'
        >>> headers.end_to_end()
        [('Host', 'a')]
    """

    __slots__ = ('items', '_values')

    def __init__(self, items=()):
        self.items = tuple(items)
        #: Values by name in lower case. A search of all fields for each name
        #: would cost milliseconds for thousands of short ones.
        self._values = {}
        for key, value in self.items:
            self._values.setdefault(key.lower(), []).append(value)

    def get(self, name, default=None):
        """Return the first value of `name`, or `default`."""
        values = self._values.get(name.lower())
        return default if values is None else values[0]

    def get_all(self, name):
        """Return all values of `name` in order of arrival."""
        return list(self._values.get(name.lower(), ()))

    def end_to_end(self, without=frozenset()):
        """Return the fields to forward, as pairs of name and value.

        Args:
            without: further names to exclude, in lower case.
        """
        hop_names = set()
        for value in self.get_all('connection'):
            hop_names.update(word.strip().lower() for word in value.split(','))
        return [
            (key, value)
            for key, value in self.items
            if not _is_excluded(key.lower(), hop_names, without)
        ]


def _is_excluded(name, hop_names, without):
    return (
        name in HOP_BY_HOP_HEADERS
        or name in FRAMING_HEADERS
        or name in hop_names
        or name in without
    )


@attrs.define
class Request:
    """A request that was read completely.

    Attributes:
        received_at: arrival of its last byte, in seconds on the monotonic
            clock.
        keep_alive: whether the caller keeps the connection open.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    received_at: float = 0.0
    keep_alive: bool = True

    @property
    def path(self):
        """The target without its query string."""
        return self.target.partition('?')[0]


@attrs.define
class ReplyHead:
    """Status and header fields of a reply.

    Attributes:
        bodiless: whether the status or the method of the request, HEAD,
            rules out a body, whatever the headers say.
        reason: the reason phrase as it came; for logs.
    """

    status: int
    headers: Headers = attrs.field(factory=Headers)
    bodiless: bool = False
    reason: str = ''


def dump_head(first_line, items):
    """Return the encoded head of a message.

    Args:
        first_line: the request line or status line.
        items: pairs of header name and value.

    Examples:
        >>> dump_head('GET / HTTP/1.1', [('Host', 'a')])
        b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n'
    """
    lines = [first_line]
    lines.extend(f'{name}: {value}' for name, value in items)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def dump_reply(status, items, body=b'', method=''):
    """Return an encoded reply with a Content-Length.

    Args:
        status: its status.
        items: pairs of header name and value.
        body: its body, which a reply to HEAD states but does not have.
        method: method of the request.
    """
    items = [*items, ('Content-Length', str(len(body)))]
    head = dump_head(status_line(status), items)
    return head if method == 'HEAD' else head + body


def status_line(status):
    """Return the status line of `status`."""
    return f'HTTP/1.1 {status} {REASON_PHRASES.get(status, "Status")}'


def dump_chunk(data):
    """Return `data` as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


LAST_CHUNK = b'0\r\n\r\n'
