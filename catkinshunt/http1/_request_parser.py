"""Parser of the requests of one connection, with bounds on each part."""

import httptools

from catkinshunt.http1 import _messages

#: Memory of a request beside its fields and its body.
REQUEST_BYTES = 2048
#: Memory of a header field beside its name and value.
FIELD_BYTES = 350
#: How often a body is held: a copy waits in the write buffer of the upstream.
BODY_COPIES = 2
#: Bytes that are parsed at once, but for the rest of a body whose length is
#: stated. The shortest requests take 18 bytes, so more would become very many
#: requests before the next look at the bounds.
SLICE_BYTES = 1024


class BadRequestError(Exception):
    """A request that is rejected before it is read completely.

    Attributes:
        status: status of the reply.
        retry_after_s: seconds after which the caller may send it again; None
            if the request itself is not accepted.
    """

    def __init__(self, status, message, retry_after_s=None):
        super().__init__(message)
        self.status = status
        self.retry_after_s = retry_after_s

    def retry_items(self):
        """Return the header items that say when to come back."""
        if self.retry_after_s is None:
            return []
        return [('Retry-After', f'{self.retry_after_s:g}')]


class RequestParser:
    """Turns bytes into requests.

    Args:
        clock: function that returns seconds on the monotonic clock.
        limits: function that returns the `Limits` in force.
        on_head: called once the head of a request was read; may raise a
            `BadRequestError`.
        on_request: called with each `Request` that was read, and the bytes
            that it takes.

    Attributes:
        since: when the first byte of the incomplete request came, in seconds
            on the monotonic clock; None without one.
        expects_continue: whether the caller of the incomplete request waits
            for 100 Continue.
        stated_bytes: stated length of its body; 0 without one.
    """

    def __init__(self, clock, limits, on_head, on_request):
        self.clock = clock
        self.limits = limits
        self.on_head = on_head
        self.on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._begin_request()

    @property
    def held_bytes(self):
        """Bytes that the incomplete request takes; 0 without one."""
        if self.since is None:
            return 0
        return self._head_size() + len(self._body)

    @property
    def next_bytes(self):
        """Most bytes that `feed` should get at once."""
        return max(SLICE_BYTES, self.stated_bytes - len(self._body))

    def clear(self):
        """Drop the incomplete request; nothing may be parsed after it."""
        self._begin_request()

    def feed(self, data):
        """Parse bytes.

        Raises:
            BadRequestError: the request is rejected. Nothing can be parsed
                after it.
        """
        if self.since is None:
            self.since = self.clock()
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadRequestError(400, 'upgrades are not supported') from exc
        except httptools.HttpParserError as exc:
            if isinstance(exc.__context__, BadRequestError):
                raise exc.__context__ from None
            raise BadRequestError(
                400, 'the request could not be parsed'
            ) from exc
        if self.since is None:
            return
        if self._overhead_bytes > self.limits().header_bytes:
            raise BadRequestError(431, 'head or framing is too long')

    # httptools

    def on_message_begin(self):
        """Note the begin of a request."""
        if self.since is None:
            self.since = self.clock()

    def on_url(self, url):
        """Add a part of the request target."""
        self._target += url

    def on_header(self, name, value):
        """Add one header field."""
        self._items.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self):
        """Check whether the body is wanted."""
        self._headers = headers = _messages.Headers(self._items)
        self.expects_continue = (
            headers.get('expect') or ''
        ).lower() == '100-continue'
        # The parser has checked that it is a number.
        self.stated_bytes = int(headers.get('content-length') or 0)
        self._head_bytes += self._overhead_bytes
        self._overhead_bytes = 0
        self.on_head()

    def on_body(self, data):
        """Add a part of the body; reject a body over the limit."""
        self._overhead_bytes = 0
        self._body += data
        if len(self._body) > self.limits().body_bytes:
            raise BadRequestError(413, 'the body is too long')

    def on_message_complete(self):
        """Pass on the request and start the next."""
        req = _messages.Request(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self._whole_headers(),
            bytes(self._body),
            self.clock(),
            self._parser.should_keep_alive(),
        )
        size = self._head_size() + BODY_COPIES * len(self._body)
        self._begin_request()
        self.on_request(req, size)

    def _head_size(self):
        """Return the memory that the fields take."""
        size = REQUEST_BYTES + FIELD_BYTES * len(self._items)
        return size + self._head_bytes + self._overhead_bytes

    def _whole_headers(self):
        """Return the fields of the head and of the trailer section."""
        if len(self._headers.items) == len(self._items):
            return self._headers
        return _messages.Headers(self._items)

    def _begin_request(self):
        self.since = None
        self.expects_continue = False
        self._target = bytearray()
        self._items = []
        self._headers = None
        self._head_bytes = 0
        self._body = bytearray()
        self.stated_bytes = 0
        self._overhead_bytes = 0
