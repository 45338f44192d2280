"""Tests of replies that are cut off, joined or malformed."""

import contextlib
import socket
import threading
import time

import pytest

from catkinshunt.entry.tests import harness
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import _response

HEAD = (
    b'HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 5\r\n\r\n'
)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'03\r\none\r\n010\r\n' + b'x' * 16 + b'\r\n0\r\nSum: 1\r\n\r\n'
)
FAILURE = b'HTTP/1.1 500 Failed\r\nRevision: 8\r\nContent-Length: 2\r\n\r\nno'
UNFRAMED = b'HTTP/1.0 200 OK\r\nRevision: 7\r\n\r\nwhole'


@contextlib.contextmanager
def connected():
    """Yield a connection of the pool and the socket of its peer."""
    server = socket.create_server(('127.0.0.1', 0))
    address = httpio.Address(*server.getsockname())
    pool = httpio.ConnectionPool(timeout_s=5)
    with server, contextlib.closing(pool):
        conn, _ = pool.acquire(address)
        conn.connect()
        peer, _ = server.accept()
        with peer, contextlib.closing(conn):
            yield pool, address, conn, peer


def read(data):
    """Return what is read of a reply whose connection then ends.

    Returns:
        (status, body), or None if it is incomplete or invalid.
    """
    with connected() as (_, _, conn, peer):
        conn.request('GET', '/')
        peer.recv(65536)
        peer.sendall(data)
        peer.shutdown(socket.SHUT_WR)
        try:
            resp = conn.getresponse()
            return resp.status, b''.join(httpio.iter_body(resp, conn.sock))
        except httpio.READ_ERRORS:
            return None


def test_end_of_the_connection_is_not_the_end_of_a_head():
    """An upstream that stops in its head got a 200 with an empty body."""
    taken = [cut for cut in range(len(HEAD)) if read(HEAD[:cut])]
    assert taken == []


def test_end_of_the_connection_is_not_the_end_of_chunks():
    """A cut after the first digit of a size of two looked like the end."""
    whole = read(CHUNKED)
    assert whole == (200, b'one' + b'x' * 16)
    taken = [cut for cut in range(len(CHUNKED)) if read(CHUNKED[:cut])]
    assert taken == []


def test_heads_of_two_replies_are_not_joined():
    """The status of a late reply was taken with the body of the next."""
    taken = {cut: read(HEAD[:cut] + FAILURE) for cut in range(len(HEAD))}
    assert taken.pop(0) == (500, b'no')
    assert {cut: found for cut, found in taken.items() if found} == {}


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n',
        b'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1_0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length 5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX: a\rContent-Length: 1\r\n\r\n',
        b'HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\n',
        b'HTTP/1.1 0200 OK\r\nContent-Length: 5\r\n\r\n',
        b'HTTP/2 200 OK\r\nContent-Length: 5\r\n\r\n',
        b'HTTP/1.1 101 OK\r\n\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n' * 9 + HEAD,
        b'HTTP/1.1 200 OK\r\n' + b'X: y\r\n' * 20_000 + b'\r\n',
        b'HTTP/1.1 200 OK\r\nX: ' + b'y' * 100_000 + b'\r\n\r\n',
    ],
)
def test_malformed_head_is_no_reply(head):
    """Its body could be cut short, or the next reply taken for its rest."""
    assert read(head + b'whole') is None


@pytest.mark.parametrize(
    'body',
    [
        b'2\r\nwhole\r\n0\r\n\r\n',
        b'+5\r\nwhole\r\n0\r\n\r\n',
        b'0x5\r\nwhole\r\n0\r\n\r\n',
        b'5\r\nwhole\r\n0\r\n' + b'X: y\r\n' * 20_000 + b'\r\n',
        b'5\r\nwhole\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n',
    ],
)
def test_malformed_chunks_are_no_body(body):
    """Other data would be taken for a part of it."""
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    assert read(head + body) is None


@pytest.mark.parametrize('status', [100, 102, 103])
def test_interim_head_is_not_the_reply(status):
    """The reply itself would be taken for that to the next request."""
    interim = b'HTTP/1.1 %d Wait\r\nLink: a\r\n\r\n' % status
    assert read(interim + HEAD + b'whole') == (200, b'whole')


@pytest.mark.parametrize('count', [1, 20, len(HEAD)])
def test_connection_with_data_behind_a_reply_is_not_reused(count):
    """They are lost with the buffer; the rest would begin the next reply."""
    with connected() as (pool, address, conn, peer):
        conn.request('GET', '/')
        peer.recv(65536)
        peer.sendall(HEAD + b'whole' + HEAD[:count])
        assert conn.getresponse().read() == b'whole'
        pool.release(address, conn)
        assert pool.acquire(address)[0] is not conn


def test_connection_is_reused_after_a_whole_reply():
    """Each request would cost a connection."""
    with connected() as (pool, address, conn, peer):
        for _ in range(2):
            conn.request('GET', '/')
            peer.recv(65536)
            peer.sendall(HEAD + b'whole')
            assert conn.getresponse().read() == b'whole'
            pool.release(address, conn)
            assert pool.acquire(address) == (conn, True)


def test_call_with_a_cut_reply_is_unknown():
    """A part of a head counted as the confirmation of an order or a write."""
    for cut in range(len(HEAD) + len(b'whole')):
        upstream = harness.ScriptedUpstream((HEAD + b'whole')[:cut])
        with contextlib.closing(upstream):
            with pytest.raises(errors.OutcomeUnknownError):
                httpio.exchange(upstream.address, 'POST', '/orders')


def test_body_that_ends_with_its_connection_is_not_delimited():
    """A cut one looks the same, so its reader must be able to tell."""
    with connected() as (_, _, conn, peer):
        conn.request('GET', '/')
        peer.recv(65536)
        peer.sendall(UNFRAMED)
        peer.shutdown(socket.SHUT_WR)
        resp = conn.getresponse()
        assert (resp.read(), resp.is_delimited) == (b'whole', False)


@contextlib.contextmanager
def endless(head, part, pause_s):
    """Yield the address of a server that sends parts without end."""
    server = socket.create_server(('127.0.0.1', 0))

    def run():
        conn, _ = server.accept()
        with conn, contextlib.suppress(OSError):
            conn.recv(65536)
            conn.sendall(head)
            while True:
                conn.sendall(part)
                time.sleep(pause_s)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    with server:
        yield httpio.Address(*server.getsockname())
        thread.join(20)


@pytest.mark.parametrize(
    ('part', 'pause_s'), [(b'x' * 65536, 0.0), (b'x', 0.01)]
)
@pytest.mark.parametrize('field', [b'X: y', b'Content-Length: 99999999999'])
def test_body_without_end_does_not_hold_its_call(
    field, part, pause_s, monkeypatch
):
    """It would fill the memory, or each byte extend the wait."""
    monkeypatch.setattr(_response, 'MAX_REPLY_BYTES', 1_000_000)
    monkeypatch.setattr(_response, 'MAX_REPLY_S', 0.3)
    head = b'HTTP/1.1 200 OK\r\n' + field + b'\r\n\r\n'
    with endless(head, part, pause_s) as address:
        with pytest.raises(errors.OutcomeUnknownError) as caught:
            httpio.exchange(address, 'GET', '/', timeout_s=5)
    assert 'does not end' in caught.value.message


@pytest.mark.parametrize('head', [b'HTTP/1.1 200 OK\r\nX: ', b''])
def test_head_that_arrives_byte_by_byte_does_not_hold_its_call(head):
    """Each byte extended the wait, and the caller waited for hours."""
    with endless(head, b'H', 0.01) as address:
        begun_at = time.monotonic()
        with pytest.raises(errors.OutcomeUnknownError):
            httpio.exchange(address, 'GET', '/', timeout_s=0.5)
        assert time.monotonic() - begun_at < 5


def test_body_has_the_whole_time_out_after_a_slow_head():
    """What was left of the time of the head would count for the body."""
    with connected() as (_, _, conn, peer):
        conn.request('GET', '/')
        peer.recv(65536)
        peer.sendall(HEAD[:10])
        timer = threading.Timer(0.2, peer.sendall, [HEAD[10:]])
        timer.start()
        resp = conn.getresponse()
        timer.join()
        assert conn.sock.gettimeout() == 5
        peer.sendall(b'whole')
        assert resp.read() == b'whole'
