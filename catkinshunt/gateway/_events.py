"""Splits an event stream into whole events."""

import attrs

#: Longest event; a longer one is not held in memory.
MAX_EVENT_BYTES = 1024 * 1024
_DELIMITERS = (b'\n\n', b'\r\n\r\n')


class BadEventError(Exception):
    """Bytes that do not continue the stream."""


@attrs.frozen
class Event:
    """One whole event.

    Attributes:
        id: its id, or None where it has none.
        data: its bytes, the blank line included.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Takes parts of a stream and gives its whole events.

    A part may end anywhere; what is not a whole event yet is held back, so
    that a caller never gets half an event of an upstream that then fails.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        [Event(id=1, data=b'id: 1\\ndata: a\\n\\n')]
        >>> splitter.remainder
        b'id: 2\\nda'
    """

    def __init__(self):
        self.remainder = b''

    def feed(self, data):
        """Return the events that `data` makes whole.

        Raises:
            BadEventError: an event is too long or its id is no number.
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
            raise BadEventError('an event is too long')
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
                raise BadEventError(f'event id {text[:20]!r} is no number')
            return Event(int(text), data)
    return Event(None, data)
