"""Splits a server-sent event stream into complete events."""

import attrs

#: Longest event that is buffered.
MAX_EVENT_BYTES = 1024 * 1024
_DELIMITERS = (b'\n\n', b'\r\n\r\n')


class BadEventError(Exception):
    """The stream has an event that is too long or has an invalid id."""


@attrs.frozen
class Event:
    """One complete event.

    Attributes:
        id: its numeric id, or None.
        data: its bytes, including the terminating blank line.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Incremental parser that returns only complete events.

    An incomplete event stays in `remainder`, so that a client never gets a
    part of an event from an upstream that then fails.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        [Event(id=1, data=b'id: 1\\ndata: a\\n\\n')]
        >>> splitter.remainder
        b'id: 2\\nda'
    """

    def __init__(self):
        self.remainder = b''

    @property
    def has_partial_event(self):
        """Whether the data so far end inside an event.

        Further blank lines after an event are not part of another one.
        """
        return bool(self.remainder.strip(b'\r\n'))

    def feed(self, data):
        """Append `data`; return the events that it completes.

        Raises:
            BadEventError: an event is too long or its id is not a number.
        """
        self.remainder += data
        found = []
        while True:
            end = _find_end(self.remainder)
            if end < 0:
                break
            found.append(_parse_event(self.remainder[:end]))
            self.remainder = self.remainder[end:]
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise BadEventError('event exceeds the size limit')
        return found


def _find_end(data):
    ends = [
        at + len(mark) for mark in _DELIMITERS if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _parse_event(data):
    for line in data.splitlines():
        if line.startswith(b'id:'):
            text = line[3:].strip()
            if not text.isdigit():
                raise BadEventError(f'event id {text[:20]!r} is not a number')
            return Event(int(text), data)
    return Event(None, data)
