"""Cuts and spoils the bytes of a reply, so that a reader can notice it."""

HEAD_END = b'\r\n\r\n'
LINE_END = b'\r\n'
#: Where a late reply may be cut.
CUTS = ('status line', 'name', 'value', 'framing', 'body', 'anywhere')
#: Bytes of ``HTTP/1.1``, and of ``HTTP/1.1 200``.
PROTOCOL_BYTES, STATUS_BYTES = 8, 12
_FRAMING = (b'content-length', b'transfer-encoding')
_SPOILT_FIELDS = (
    b'attempt-id',
    b'server-stamp',
    b'content-type',
    *_FRAMING,
)
#: Bits that turn a character of an id into none that an id may have.
_ID_BITS = (0x40, 0x80)
_BITS = tuple(1 << number for number in range(8))


def split_head(data):
    """Return the head of a reply with its end, and the rest."""
    head, end, rest = data.partition(HEAD_END)
    return head + end, rest


def status_of(data):
    """Return the status of a reply."""
    return int(data[PROTOCOL_BYTES + 1 : STATUS_BYTES])


def field_of(data, name):
    """Return the value of a field of a reply, or ''."""
    for line in split_head(data)[0].split(LINE_END)[1:]:
        found, _, value = line.partition(b': ')
        if found.lower() == name.lower().encode():
            return value.decode('latin-1')
    return ''


def add_field(data, line):
    """Return a reply with one more field."""
    first, _, rest = data.partition(LINE_END)
    return first + LINE_END + line + LINE_END + rest


def unframe(data):
    """Return a reply without length and chunks, which the close ends."""
    head, rest = split_head(data)
    lines = head.split(LINE_END)
    kept = [each for each in lines if not _has_name(each, _FRAMING)]
    if b'transfer-encoding' in head.lower():
        rest = unchunk(rest)
    return LINE_END.join(kept) + rest


def unchunk(data):
    """Return what is in whole chunks."""
    body = b''
    while data:
        size, _, data = data.partition(LINE_END)
        length = int(size, 16)
        body += data[:length]
        data = data[length + len(LINE_END) :]
    return body


def cut(data, place, random):
    """Return the begin of a reply, cut at a place of `CUTS`."""
    head, _ = split_head(data)
    first_end = head.index(LINE_END)
    if place == 'status line':
        # One place in two is in the reason phrase: what follows there is
        # valid, whatever it is.
        begin = random.choice((1, STATUS_BYTES + 1))
        return data[: random.randint(begin, first_end + len(LINE_END))]
    if place == 'body' and len(data) > len(head):
        return data[: random.randrange(len(head), len(data))]
    spans = [
        (begin, begin + line.index(b':'), begin + len(line))
        for begin, line in _lines(head)
        if b':' in line and (place != 'framing' or _has_name(line, _FRAMING))
    ]
    if place in ('name', 'value', 'framing') and spans:
        begin, colon, end = random.choice(spans)
        if place == 'value':
            begin = colon
        return data[: random.randint(begin, colon if place == 'name' else end)]
    return data[: random.randrange(1, len(data))]


def spoil_head(data, random):
    """Return a reply with one bit of its head wrong.

    Left alone is what no reader can notice: the digits of the status, and the
    value of the signature.
    """
    head, _ = split_head(data)
    first_end = head.index(LINE_END)
    groups = [
        [(at, _BITS) for at in range(PROTOCOL_BYTES + 1)]
        + [(at, _BITS) for at in range(STATUS_BYTES, first_end + 2)]
    ]
    for begin, line in _lines(head):
        if _has_name(line, _SPOILT_FIELDS):
            groups.append(_field_places(begin, line))
    at, bits = random.choice(random.choice(groups))
    return flip(data, at, random.choice(bits))


def _field_places(begin, line):
    """Return pairs of a place in a field's line and the bits to choose."""
    name, _, _ = line.partition(b':')
    value_at = begin + len(name) + len(': ')
    end = begin + len(line)
    places = [(at, _BITS) for at in range(begin, value_at - 1)]
    bits = _BITS
    if name.lower() == b'attempt-id':
        bits = _ID_BITS
    if name.lower() != b'server-stamp':
        places += [(at, bits) for at in range(value_at, end)]
    return places + [(end, _BITS), (end + 1, _BITS)]


def spoil_event(data, random):
    """Return an event with one bit wrong in its id line or blank line.

    The id stays none that another event has.

    Args:
        data: bytes that end with the event, or with its chunk.
        random: source of random numbers.
    """
    begin = data.index(b'id: ')
    value_at = begin + len(b'id: ')
    line_end = data.index(b'\n', begin)
    places = [(at, _BITS) for at in range(begin, value_at - 1)]
    places += [(at, _ID_BITS) for at in range(value_at, line_end)]
    places.append((line_end, _BITS))
    if random.random() < 0.5:
        places = [(data.index(b'\n\n') + 1, _BITS)]
    at, bits = random.choice(places)
    return flip(data, at, random.choice(bits))


def flip(data, at, bit):
    """Return `data` with a bit of one byte changed."""
    return data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :]


def _lines(head):
    """Return pairs of a place in the head and the field line there."""
    at = 0
    for line in head.split(LINE_END):
        if at and line:
            yield at, line
        at += len(line) + len(LINE_END)


def _has_name(line, names):
    return line.partition(b':')[0].lower() in names
