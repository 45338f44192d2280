"""Replies of upstreams, and ways to spoil their bytes."""

import itertools

import attrs

from catkinshunt.gateway.tests import harness
from catkinshunt import http1
from catkinshunt.platform import _reply_headers

#: Names of the parts of a reply, by the code that marks their bytes.
BODY, EVENT_ID, STAMP, ID = 'body', 'event id', 'stamp', 'id'
STATUS, REASON, NAME, VALUE = 'status', 'reason', 'name', 'value'
FRAMING, LENGTH, EVENT_END = 'framing', 'length', 'event end'
PARTS = (
    BODY,
    EVENT_ID,
    STAMP,
    ID,
    STATUS,
    REASON,
    NAME,
    VALUE,
    FRAMING,
    LENGTH,
    EVENT_END,
)
#: Inserted beside random bytes.
INSERTED = (
    b'\r\n',
    b'\n\n',
    b'\r\n\r\n',
    b'0\r\n\r\n',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200 OK\r\n\r\n',
    b'Content-Length: 0\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Connection: close\r\n',
)
#: More than a connection may hold.
FLOOD_BYTES = 768 * 1024
NOT_EXECUTED = 'rejected'


@attrs.frozen
class Marked:
    """Bytes of a reply, and the part that each of them belongs to."""

    data: bytes = b''
    codes: bytes = b''

    @classmethod
    def join(cls, pieces):
        """Return the pairs of part and bytes one after another."""
        pieces = list(pieces)
        return cls(
            b''.join(data for _, data in pieces),
            b''.join(
                bytes([PARTS.index(part)]) * len(data) for part, data in pieces
            ),
        )

    def __len__(self):
        return len(self.data)

    def __add__(self, other):
        return Marked(self.data + other.data, self.codes + other.codes)

    def slice(self, begin, end=None):
        """Return a part of it."""
        return Marked(self.data[begin:end], self.codes[begin:end])

    def replace(self, begin, end, data):
        """Return it with bytes replaced; the new ones are as their place."""
        at = min(begin, len(self) - 1)
        codes = self.codes[at : at + 1] * len(data)
        return (
            self.slice(0, begin) + Marked(data, codes) + self.slice(end, None)
        )

    def parts(self, begin, end):
        """Return the names of the parts that a range touches."""
        return {PARTS[code] for code in self.codes[begin:end]}

    def runs(self):
        """Return (begin, end) of each stretch of one part."""
        found, at = [], 0
        for _, group in itertools.groupby(self.codes):
            size = len(list(group))
            found.append((at, at + size))
            at += size
        return found


@attrs.frozen
class Shape:
    """How a reply looks before it is spoilt.

    Attributes:
        kind: `'plain'`, `'failure'`, `'rejected'` or `'stream'`.
        framing: `'length'`, `'chunked'`, `'last'` (a length, and the
            connection ends) or `'close'`.
        size: bytes of the body, or events of the stream.
        order: by how many places the fields of the head are rotated.
        interim: number of interim heads before it.
    """

    kind: str = 'plain'
    framing: str = 'length'
    size: int = 20
    order: int = 0
    interim: int = 0

    @property
    def status(self):
        """Its status."""
        return {'failure': 500, NOT_EXECUTED: 503}.get(self.kind, 200)


@attrs.define
class Answer:
    """The true reply of an upstream to one attempt of a request.

    Attributes:
        request_id: of the request.
        letter: fills the body; no other request has it.
        attempt: number of the attempt of that request.
        first: number of its first event.
        touched: names of the parts that were spoilt.
    """

    request_id: str
    letter: bytes
    attempt: int
    shape: Shape
    first: int = 1
    touched: set = attrs.field(factory=set)

    @property
    def stamp(self):
        """Its signature."""
        return f'{self.request_id}.{self.attempt}'

    def event(self, number):
        """Return the pairs of part and bytes of one event."""
        data = self.letter * 6 + b'%d.%d' % (self.attempt, number)
        return [
            (EVENT_ID, b'id: %d\n' % number),
            (BODY, b'data: ' + data),
            (EVENT_END, b'\n\n'),
        ]

    def events(self):
        """Return the bytes of each event by its number."""
        return {
            number: b''.join(data for _, data in self.event(number))
            for number in range(self.first, self.shape.size + 1)
        }

    def body(self):
        """Return its whole body."""
        if self.shape.kind == 'stream':
            return b''.join(self.events().values())
        return self.letter * self.shape.size

    def marked(self):
        """Return its bytes as a sound upstream sends them."""
        head = [
            (FRAMING, b'HTTP/1.1 '),
            (STATUS, b'%d' % self.shape.status),
            (FRAMING, b' '),
            (REASON, b'OK' if self.shape.status == 200 else b'Failed'),
            (FRAMING, b'\r\n'),
        ]
        interim = [(FRAMING, b'HTTP/1.1 102 Processing\r\n\r\n')]
        fields = self._fields()
        order = self.shape.order % len(fields)
        for part, name, value in fields[order:] + fields[:order]:
            name_part = LENGTH if part == LENGTH else NAME
            head.append((name_part, name.encode()))
            head.append((FRAMING, b': '))
            head.append((part, value.encode()))
            head.append((FRAMING, b'\r\n'))
        head.append((FRAMING, b'\r\n'))
        return Marked.join(
            interim * self.shape.interim + head + list(self._framed())
        )

    def _fields(self):
        shape = self.shape
        kind = 'event-stream' if shape.kind == 'stream' else 'plain'
        fields = [
            (ID, _reply_headers.REQUEST_ID, self.request_id),
            (STAMP, _reply_headers.SIGNATURE, self.stamp),
            (VALUE, 'Content-Type', f'text/{kind}'),
            (VALUE, _reply_headers.LOAD, '1,0,4'),
        ]
        if shape.kind == NOT_EXECUTED:
            fields.append((VALUE, _reply_headers.NOT_EXECUTED, '1'))
        if shape.framing == 'last':
            fields.append((VALUE, 'Connection', 'close'))
        length = ('Content-Length', str(len(self.body())))
        framing = {
            'length': length,
            'last': length,
            'chunked': ('Transfer-Encoding', 'chunked'),
            'close': ('Connection', 'close'),
        }
        fields.append((LENGTH, *framing[shape.framing]))
        return fields

    def _framed(self):
        pieces = [[(BODY, self.body())]]
        if self.shape.kind == 'stream':
            numbers = range(self.first, self.shape.size + 1)
            pieces = [self.event(number) for number in numbers]
        if self.shape.framing != 'chunked':
            yield from itertools.chain.from_iterable(pieces)
            return
        for piece in pieces:
            size = sum(len(data) for _, data in piece)
            if size:
                yield FRAMING, b'%x\r\n' % size
                yield from piece
                yield FRAMING, b'\r\n'
        yield FRAMING, http1.LAST_CHUNK


@attrs.frozen
class Spoil:
    """One change of the bytes of a reply.

    Attributes:
        way: `'bit'`, `'cut'` (nothing follows), `'drop'`, `'repeat'`,
            `'insert'` or `'flood'` (`FLOOD_BYTES` are inserted).
        run: which stretch of one part it hits, modulo their number.
        at: place in that stretch, modulo its length.
        size: number of bytes, or of the bit.
        data: bytes to insert.
    """

    way: str
    run: int = 0
    at: int = 0
    size: int = 1
    data: bytes = b''

    def apply(self, marked):
        """Return the spoilt bytes and the names of the parts touched."""
        runs = marked.runs()
        begin, end = runs[self.run % len(runs)]
        at = begin + self.at % (end - begin)
        last = min(at + self.size, len(marked))
        if self.way == 'cut':
            return marked.slice(0, at), {'cut'}
        if self.way == 'bit':
            last = at + 1
            bit = bytes([marked.data[at] ^ 1 << self.size % 8])
            spoilt = marked.replace(at, last, bit)
        elif self.way == 'drop':
            spoilt = marked.replace(at, last, b'')
        elif self.way == 'repeat':
            spoilt = marked.replace(at, at, marked.data[at:last])
        else:
            last = at + 1
            data = self.data
            if self.way == 'flood':
                data = marked.data[at:last] * FLOOD_BYTES
            spoilt = marked.replace(at, at, data)
        begin = at - (self.way in ('insert', 'flood') and at > 0)
        touched = marked.parts(begin, last)
        # The signature begins and ends where its line says.
        if STAMP in marked.parts(max(0, at - 2), last + 2):
            touched.add(STAMP)
        return spoilt, touched


def spoil(marked, spoils):
    """Return the bytes after all changes, and the parts touched."""
    touched = set()
    for each in spoils:
        if not marked:
            break
        marked, parts = each.apply(marked)
        touched |= parts
    return marked, touched


def last_event_id(head):
    """Return the last event that a request has seen, 0 if none."""
    return int(harness.header(head, 'Last-Event-Id') or 0)
