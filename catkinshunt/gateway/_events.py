"""Splits a server-sent event stream into complete events."""

import re

import attrs

#: Longest event that is buffered.
MAX_EVENT_BYTES = 1024 * 1024
_BLANK = b'\n\n'
_BLANK_CRLF = b'\r\n\r\n'
_MAX_DELIMITER_BYTES = len(_BLANK_CRLF)
#: Most digits of an id.
_MAX_ID_DIGITS = 18
#: The usual form of an event; all that it matches is sound.
_USUAL = re.compile(rb'id: ([1-9][0-9]{0,17})\ndata:[^\r\n]*\n\n')
_LINE = rb'(?:[a-z][a-z0-9_-]*(?::[^\r\n]*)?|:[^\r\n]*)'
#: Lines of an event: each is a comment, or a field with a name in lower case.
#: Blank lines may come before them. All end alike, as otherwise the head of
#: another reply could end an event that is cut off.
_LINES = re.compile(
    rb'(?:\r?\n)*(?:(?:%b\n)+\n|(?:%b\r\n)+\r\n)' % (_LINE, _LINE)
)
#: Lines that clients do not take for a part of an event.
_COMMENTS = re.compile(rb'(?:(?::[^\r\n]*|retry: ?[0-9]+)?\r?\n)*')
_ID = re.compile(rb'^id(?::[ ]?([^\r\n]*))?\r?$', re.MULTILINE)
_DATA = re.compile(rb'^data(?::|\r?$)', re.MULTILINE)


class BadEventError(Exception):
    """The stream has an event that is too long."""


@attrs.define
class Event:
    """One complete event.

    Attributes:
        id: its numeric id, or None.
        data: its bytes, including the terminating blank line.
        fault: why it cannot be read, or ''.
        is_comment: whether it has only comments and times until a
            reconnection, or no lines, and is no event of the stream.
    """

    id: int | None
    data: bytes
    fault: str = ''
    is_comment: bool = False


class EventSplitter:
    """Incremental parser that returns only complete events.

    An incomplete event stays in `remainder`, so that a client never gets a
    part of an event from an upstream that then fails.

    Examples:
        >>> splitter = EventSplitter()
        >>> events = splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        >>> [(event.id, event.data) for event in events]
        [(1, b'id: 1\\ndata: a\\n\\n')]
        >>> splitter.remainder
        b'id: 2\\nda'
    """

    def __init__(self):
        self._data = bytearray()

    @property
    def remainder(self):
        """The bytes of an event that is not complete yet."""
        return bytes(self._data)

    @property
    def has_partial_event(self):
        """Whether the data so far end inside an event.

        Further blank lines after an event are not part of another one.
        """
        return bool(self._data.strip(b'\r\n'))

    def feed(self, data):
        """Append `data`; return the events that it completes.

        Raises:
            BadEventError: an event is too long.
        """
        # A delimiter may begin in the data that were searched before.
        at = max(0, len(self._data) - _MAX_DELIMITER_BYTES + 1)
        self._data += data
        begin = 0
        found = []
        while (end := _find_end(self._data, at)) >= 0:
            found.append(_parse_event(bytes(self._data[begin:end])))
            begin = at = end
        del self._data[:begin]
        if len(self._data) > MAX_EVENT_BYTES:
            raise BadEventError('event exceeds the size limit')
        return found


def _find_end(data, begin):
    """Return the end of the first blank line from `begin` on, or -1."""
    at = data.find(_BLANK, begin)
    until = len(data) if at < 0 else at
    at_crlf = data.find(_BLANK_CRLF, begin, until)
    if at_crlf >= 0:
        return at_crlf + len(_BLANK_CRLF)
    return -1 if at < 0 else at + len(_BLANK)


def _parse_event(data):
    usual = _USUAL.fullmatch(data)
    if usual:
        return Event(int(usual[1]), data)
    if _COMMENTS.fullmatch(data):
        return Event(None, data, is_comment=True)
    if not _LINES.fullmatch(data):
        return Event(None, data, fault='event has a line without a field')
    if not _DATA.search(data):
        # To clients this is no event.
        return Event(None, data, fault='event without data')
    ids = _ID.findall(data)
    if not ids:
        return Event(None, data)
    if len(ids) > 1:
        return Event(None, data, fault='event has several ids')
    return _numbered_event(ids[0], data)


def _numbered_event(text, data):
    # A leading zero may be a spoilt space.
    is_number = text.isdigit() and (text == b'0' or text[:1] != b'0')
    if not is_number or len(text) > _MAX_ID_DIGITS:
        return Event(None, data, fault=f'event id {text[:20]!r} is no number')
    return Event(int(text), data)
