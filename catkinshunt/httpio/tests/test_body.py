"""Tests of reading a streamed body."""

import http.client
import socket

import pytest

from catkinshunt import httpio

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.fixture
def sockets():
    local, remote = socket.socketpair()
    local.settimeout(20)
    with local, remote:
        yield local, remote


def read_pieces(local):
    resp = http.client.HTTPResponse(local)
    resp.begin()
    return httpio.iter_body(resp, local)


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


@pytest.mark.parametrize('cut', [0, 1])
def test_piece_is_not_delayed_until_the_next(sockets, cut):
    """The next piece is slow, or only its first bytes have arrived.

    Waiting for it would delay every piece by one, and the first piece of a
    reply by the time between tokens.
    """
    local, remote = sockets
    later = chunk(b'two') + b'0\r\n\r\n'
    remote.sendall(HEAD + chunk(b'one') + later[:cut])
    pieces = read_pieces(local)
    assert next(pieces) == b'one'
    remote.sendall(later[cut:])
    assert b''.join(pieces) == b'two'


def test_buffered_pieces_are_joined(sockets):
    local, remote = sockets
    remote.sendall(HEAD + chunk(b'one') + chunk(b'two') + b'0\r\n\r\n')
    assert list(read_pieces(local)) == [b'onetwo']


def test_data_before_a_truncation_is_yielded(sockets):
    """A process crashes after two pieces that arrived together."""
    local, remote = sockets
    remote.sendall(HEAD + chunk(b'one') + chunk(b'two') + b'5\r\nth')
    remote.close()
    pieces = read_pieces(local)
    received = b''
    with pytest.raises(httpio.READ_ERRORS):
        for piece in pieces:
            received += piece
    assert received.startswith(b'onetwo')
