"""Tests of reading a streamed body."""

import http.client
import socket

import pytest

from catkinshunt import httpio

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.fixture
def ends():
    near, far = socket.socketpair()
    near.settimeout(20)
    with near, far:
        yield near, far


def begin(near):
    resp = http.client.HTTPResponse(near)
    resp.begin()
    return httpio.iter_body(resp, near)


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


@pytest.mark.parametrize('cut', [0, 1])
def test_piece_is_not_delayed_until_the_next(ends, cut):
    """The next piece is slow, or only its first bytes have arrived.

    Waiting for it would delay every piece by one, and the first piece of a
    reply by the time between tokens.
    """
    near, far = ends
    later = chunk(b'two') + b'0\r\n\r\n'
    far.sendall(HEAD + chunk(b'one') + later[:cut])
    pieces = begin(near)
    assert next(pieces) == b'one'
    far.sendall(later[cut:])
    assert b''.join(pieces) == b'two'


def test_buffered_pieces_are_joined(ends):
    near, far = ends
    far.sendall(HEAD + chunk(b'one') + chunk(b'two') + b'0\r\n\r\n')
    assert list(begin(near)) == [b'onetwo']


def test_data_before_a_truncation_is_yielded(ends):
    """A process crashes after two pieces that arrived together."""
    near, far = ends
    far.sendall(HEAD + chunk(b'one') + chunk(b'two') + b'5\r\nth')
    far.close()
    pieces = begin(near)
    got = b''
    with pytest.raises(httpio.READ_ERRORS):
        for piece in pieces:
            got += piece
    assert got.startswith(b'onetwo')
