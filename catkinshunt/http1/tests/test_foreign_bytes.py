"""Bytes of a peer that belong to no reply, or to that of another request."""

import pytest

from catkinshunt import http1

OWN = b'HTTP/1.1 500 Failed\r\nId: b\r\nContent-Length: 6\r\n\r\nfailed'
LATE = b'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nlate'
CHUNKED = b'HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n'


class FakeTransport:
    """Transport that records how it is used."""

    def __init__(self):
        self.is_paused = False
        self._is_closing = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self._is_closing

    def close(self):
        self._is_closing = True

    abort = close

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


def is_foreign(head):
    return head.headers.get('Id') not in (None, 'b')


class Peer:
    """A connection to a peer, and the reply that was read of it."""

    def __init__(self, **options):
        self.invalid = []
        self.conn = http1.ClientConnection(lambda: 0.0, self.invalid.append)
        self.transport = FakeTransport()
        self.conn.connection_made(self.transport)
        self.conn.send(b'', is_foreign=is_foreign, **options)

    def feed(self, *parts):
        """Receive `parts` one after the other; return this object."""
        for data in parts:
            self.conn.data_received(data)
        return self

    def end(self):
        """Receive the end of the connection; return this object."""
        self.conn.eof_received()
        return self

    def parts(self):
        """Return the parts of the reply that arrived."""
        found = []
        while self.conn.has_part:
            # Runs to its end at once.
            try:
                self.conn.read_part().send(None)
            except StopIteration as exc:
                found.append(exc.value)
            if isinstance(found[-1], http1.ConnectionLost):
                break
        return found

    def reply(self):
        """Return (status, body) of a whole reply, else None."""
        found = self.parts()
        ends = [
            at
            for at, part in enumerate(found)
            if isinstance(part, http1.EndOfReply)
        ]
        if not ends:
            return None
        head, *rest = found[: ends[0]]
        return head.status, b''.join(part.data for part in rest)


def in_pieces(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


def test_sound_reply_in_any_pieces():
    for size in range(1, len(OWN) + 1):
        assert Peer().feed(*in_pieces(OWN, size)).reply() == (500, b'failed')


@pytest.mark.parametrize('status', [100, 102, 103, 199])
@pytest.mark.parametrize(
    'framing',
    [b'Content-Length: 9', b'Transfer-Encoding: chunked'],
)
def test_interim_head_has_no_body(status, framing):
    """The reply behind it would be taken for its body."""
    interim = b'HTTP/1.1 %d X\r\n%b\r\n\r\n' % (status, framing)
    for size in (1, 7, 1000):
        peer = Peer().feed(*in_pieces(interim + OWN, size))
        assert peer.reply() in (None, (500, b'failed'))


def test_cut_interim_head_is_not_joined_with_the_reply():
    """Its fields would be taken for those of the reply."""
    interim = b'HTTP/1.1 103 Early Hints\r\nId: b\r\nX: yes\r\n\r\n'
    for cut in range(1, len(interim) + 1):
        found = Peer().feed(interim[:cut] + OWN).reply()
        assert found in (None, (500, b'failed')), cut


def test_interim_heads_have_a_limit():
    """A peer could send them without end."""
    peer = Peer().feed(*[b'HTTP/1.1 100 Continue\r\n\r\n'] * 9)
    assert isinstance(peer.parts()[-1], http1.ConnectionLost)


def test_switch_of_protocols_is_no_reply():
    """What follows it is no HTTP."""
    switch = (
        b'HTTP/1.1 101 Switching Protocols\r\n'
        b'Connection: upgrade\r\nUpgrade: raw\r\n\r\n'
    )
    assert Peer().feed(switch + OWN).reply() is None
    assert Peer().feed(switch, OWN).reply() is None


@pytest.mark.parametrize('status', [204, 304])
@pytest.mark.parametrize('gap', [True, False])
@pytest.mark.parametrize(
    'framing', [b'Content-Length: 4', b'Transfer-Encoding: chunked']
)
def test_reply_without_a_body_ends_with_its_head(status, gap, framing):
    """What follows would be passed on as its body."""
    head = b'HTTP/1.1 %d X\r\nId: b\r\n%b\r\n\r\n' % (status, framing)
    peer = Peer().feed(head, LATE) if gap else Peer().feed(head + LATE)
    # A length in a 204 is invalid; the status may be spoilt.
    assert peer.reply() == (None if status == 204 else (304, b''))
    assert not peer.conn.is_open


def test_reply_to_head_ends_with_its_head():
    """A caller would wait until its deadline for a body that never comes."""
    peer = Peer(is_head=True).feed(CHUNKED)
    assert peer.reply() == (200, b'')
    peer = Peer(is_head=True).feed(OWN[:-6])
    assert peer.reply() == (500, b'')
    peer.conn.send(b'', is_foreign=is_foreign)
    assert peer.feed(OWN).reply() == (500, b'failed')


def test_body_of_a_reply_to_head_is_not_passed_on():
    """It belongs to another request."""
    peer = Peer(is_head=True).feed(OWN)
    assert peer.reply() in (None, (500, b''))
    assert not peer.conn.is_open


def test_late_reply_to_head_may_have_no_body():
    """The skipped head's body would be the awaited reply."""
    late = b'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 60\r\n\r\n'
    for size in (1, 5, 1000):
        assert Peer().feed(*in_pieces(late + OWN, size)).reply() is None


def test_trailers_have_a_limit():
    """A peer could fill the memory with fields behind a reply."""
    peer = Peer().feed(CHUNKED + b'0\r\n')
    field = b'X: ' + b'x' * 1000 + b'\r\n'
    fed = 0
    while not peer.transport.is_closing() and fed < 1000:
        peer.feed(field)
        fed += 1
    assert fed < 100


@pytest.mark.parametrize('trailer', [b'', b'X', b'X: a', b'X: a\r\n'])
def test_cut_trailer_is_not_joined_with_the_next_reply(trailer):
    """The next reply would end a cut one as if it were whole."""
    cut = CHUNKED + b'2\r\nok\r\n0\r\n' + trailer
    assert Peer().feed(cut, OWN).reply() is None


def test_trailer_of_a_late_reply_is_skipped():
    """Its fields would be taken for those of the awaited reply."""
    late = CHUNKED.replace(b'Id: b', b'Id: a') + b'0\r\nX: yes\r\n\r\n'
    peer = Peer().feed(late + OWN)
    head = peer.parts()[0]
    assert (head.status, head.headers.get('X')) == (500, None)


@pytest.mark.parametrize('gap', [True, False])
def test_late_reply_that_closes_its_connection(gap):
    """What follows it cannot be read."""
    late = LATE.replace(b'Id: a', b'Id: a\r\nConnection: close')
    peer = Peer().feed(late, OWN) if gap else Peer().feed(late + OWN)
    assert peer.reply() in (None, (500, b'failed'))
    assert not peer.conn.is_open


def test_late_reply_without_length_is_not_skipped():
    """The awaited reply would be dropped as its body."""
    late = b'HTTP/1.1 200 OK\r\nId: a\r\n\r\nlate'
    peer = Peer().feed(late, OWN).end()
    assert peer.reply() is None


def test_head_without_length_that_is_cut_is_no_reply():
    """A peer that stops in its head would be passed on as an empty success."""
    head = b'HTTP/1.1 200 OK\r\nId: b\r\nStamp: x\r\n\r\n'
    for cut in range(len(head)):
        assert Peer().feed(head[:cut]).end().reply() is None, cut


def test_late_replies_are_skipped_once_at_most():
    """A peer could send them without end."""
    assert Peer().feed(LATE + OWN).reply() == (500, b'failed')
    assert Peer().feed(LATE + LATE + OWN).reply() is None


def test_skipped_body_is_not_kept():
    """A peer could fill the memory with a reply that is dropped."""
    head = b'HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    peer = Peer().feed(head)
    for _ in range(100):
        peer.feed(b'10000\r\n' + bytes(65536) + b'\r\n')
    assert not peer.conn.has_part
    assert peer.conn._buffered_bytes == 0


def test_body_is_read_ahead_up_to_a_limit():
    """A peer could fill the memory faster than a caller reads."""
    peer = Peer().feed(CHUNKED)
    fed = 0
    while not peer.transport.is_paused:
        peer.feed(b'1000\r\n' + bytes(4096) + b'\r\n')
        fed += 4096
    assert fed <= 300 * 1024


def test_small_chunks_are_read_ahead_up_to_a_limit():
    """Parts of a byte each take far more memory than their data."""
    peer = Peer().feed(CHUNKED)
    fed = 0
    while not peer.transport.is_paused and fed < 300000:
        peer.feed(b'1\r\nx\r\n' * 1000)
        fed += 1000
    assert fed <= 20000


@pytest.mark.parametrize(
    'data',
    [
        pytest.param(b'HTTP/1.1 200 OK\r\nX: ' + b'x' * 1000, id='value'),
        pytest.param(b'HTTP/1.1 200 ' + b'O' * 1000, id='reason'),
        pytest.param(b'HTTP/1.1 200 OK\r\n' + b'X' * 1000, id='name'),
        pytest.param(CHUNKED + b'5;' + b'x' * 1000, id='chunk extension'),
        pytest.param(CHUNKED + b'0' * 1000, id='size of a chunk'),
    ],
)
def test_endless_line_has_a_limit(data):
    """A peer could fill the memory, or hold a request, with one line."""
    peer = Peer().feed(data)
    filler = data[-1:] * 1000
    fed = 0
    while not peer.transport.is_closing() and fed < 1000:
        peer.feed(filler)
        fed += 1
    assert fed < 100


def test_error_of_the_parser_is_final():
    """A parser that goes on after an error could find a reply in the rest."""
    for bad in (b'X', b'HTTP/1.1 2', b'HTTP/9.9 200 OK\r\n\r\n', b'\r\n\0'):
        for size in (1, 5, 1000):
            peer = Peer().feed(*in_pieces(bad + b'\r\n' + OWN + OWN, size))
            assert peer.reply() in (None, (500, b'failed'))
            if peer.transport.is_closing():
                assert not peer.conn.is_open


@pytest.mark.parametrize('gap', [True, False])
def test_second_head_within_an_awaited_reply_ends_it(gap):
    """The rest of another reply would be passed on as the body of this one."""
    head, body = OWN[:-6], OWN[-6:]
    parts = [head, LATE, body]
    peer = Peer().feed(*parts if gap else [b''.join(parts)])
    assert peer.reply() is None or peer.conn.is_end_doubtful


@pytest.mark.parametrize('before', [b'', LATE])
@pytest.mark.parametrize('field', [b'', b'Connection: close\r\n'])
def test_reply_that_is_longer_than_it_says_is_doubtful(before, field):
    """A part of a body would be passed on as the whole."""
    spoilt = OWN.replace(b'Content-Length: 6', field + b'Content-Length: 2')
    for size in (len(before + spoilt), len(before + spoilt) - 1):
        peer = Peer().feed(*in_pieces(before + spoilt, size))
        assert peer.reply() == (500, b'fa')
        assert peer.conn.is_end_doubtful
        assert not peer.conn.is_open


@pytest.mark.parametrize('field', [b'', b'Connection: close\r\n'])
@pytest.mark.parametrize('behind', [LATE, LATE[:3], OWN, b'\r\n'])
def test_reply_before_another_one_is_whole(field, behind):
    """A sound reply would not be relayed."""
    own = OWN.replace(b'Content', field + b'Content')
    peer = Peer().feed(own + behind)
    assert peer.reply() == (500, b'failed')
    assert not peer.conn.is_end_doubtful


@pytest.mark.parametrize('behind', [b'xyz', b' ', b'\x07junk'])
def test_data_behind_the_last_chunk_leaves_no_doubt(behind):
    """A whole reply, and a whole stream, would be refused."""
    own = CHUNKED + http1.dump_chunk(b'whole') + http1.LAST_CHUNK
    for size in (len(own + behind), 1):
        peer = Peer().feed(*in_pieces(own + behind, size))
        assert peer.reply() == (200, b'whole')
        assert not peer.conn.is_end_doubtful
        assert not peer.conn.is_open
