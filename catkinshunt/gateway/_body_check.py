"""Checks whether the body of a reply may be relayed as whole."""

import re

from catkinshunt import errors
from catkinshunt import http1

#: Bytes of the body so far with which the next part is searched, as a head
#: may lie in both.
TAIL_BYTES = 1024
_HTTP_NAME = b'HTTP/1.'
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] \d\d\d ')
#: Status line and at least one field.
_HEAD = re.compile(
    rb'HTTP/1\.[01] \d\d\d [^\r\n]*\r\n((?:[!-9;-~]+:[^\r\n]*\r\n)+)'
)


class BodyCheck:
    """Finds replies to other requests within the body of a reply.

    An upstream that answers twice may send a late reply between the head and
    the end of the body of another one, or behind a body that is cut off. It
    would be taken for a part of the body.

    Args:
        dialect: `base.BaseDialect`.
        peer: address of the upstream as text.
    """

    def __init__(self, dialect, peer):
        self.dialect = dialect
        self.peer = peer
        self._tail = b''
        self._is_at_begin = True

    def feed(self, data):
        """Check the next part of the body.

        Raises:
            errors.OutcomeUnknownError: it holds a reply that states its
                request, or the body begins as a reply.
        """
        data = self._tail + data
        if _HTTP_NAME in data and self._holds_reply(data):
            raise errors.OutcomeUnknownError(
                'a reply within the body', step='read-reply', peer=self.peer
            )
        self._tail = data[-TAIL_BYTES:]
        self._is_at_begin = False

    def _holds_reply(self, data):
        if self._is_at_begin and _STATUS_LINE.match(data):
            return True
        return any(
            self._states_request(match[1]) for match in _HEAD.finditer(data)
        )

    def _states_request(self, lines):
        """Return whether the fields in `lines` state a request."""
        items = [
            (name, value.strip())
            for name, _, value in (
                line.partition(':')
                for line in lines.decode('latin-1').split('\r\n')
            )
        ]
        head = http1.ReplyHead(200, http1.Headers(items))
        return self.dialect.reply_request_id(head) != ''
