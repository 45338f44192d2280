"""Tests of forwarding an admitted request."""

import io
import socket
import threading
import time

import attrs
import pytest

from catkinshunt.entry.tests import harness
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import limits
from catkinshunt import settings
from catkinshunt.sidecar import _forward
from catkinshunt.sidecar import _request

REPLY = b'HTTP/1.1 200 OK\r\nModel-Version: v2\r\nContent-Length: 2\r\n\r\n{}'


@pytest.fixture
def upstream():
    scripted = harness.ScriptedUpstream(REPLY)
    yield scripted
    scripted.close()


def make(upstream, is_engine=True):
    cfg = harness.BASE_SETTINGS | {
        'service': 'models',
        'upstream': str(upstream.address),
        'is_engine': is_engine,
        # Required with `is_engine`; nothing listens on it here.
        'port': 8080,
    }
    cfg = settings.structure(cfg, settings.SidecarSettings)
    admission = limits.Admission(limits.FairQueue())
    return _forward.Forwarder(cfg, admission)


def request(**extra_headers):
    environ = {'REQUEST_METHOD': 'POST', 'CONTENT_LENGTH': '0'}
    environ['wsgi.input'] = io.BytesIO()
    for name, value in extra_headers.items():
        environ[f'HTTP_CATKINSHUNT_{name}'] = value
    return _request.ForwardedRequest.from_environ(
        environ, '/generate', time.monotonic()
    )


@pytest.mark.parametrize(
    'extra_headers, step',
    [
        ({'DEADLINE_MS': '0'}, 'deadline'),
        ({'ATTEMPT_ID': 'a1', 'NOT_AFTER': '5.0'}, 'deadline'),
    ],
)
def test_request_is_not_dispatched_after_its_deadline(
    upstream, extra_headers, step
):
    """A sidecar was paused, or a request arrived very late.

    The entry regards the attempt as ended by then. Dispatching it could run
    a booking in addition to its repeat.
    """
    forwarder = make(upstream, is_engine=False)
    with pytest.raises(errors.RefusedError) as caught:
        forwarder.forward(request(**extra_headers))
    assert (caught.value.ran, upstream.requests) == ('no', [])
    assert forwarder.admission.load == 0


def test_disconnected_caller_is_not_served(upstream):
    """A caller disconnects while its request is queued.

    Running it anyway would delay the requests that are still waited for.
    """
    forwarder = make(upstream, is_engine=False)
    req = request()
    req = attrs.evolve(req, is_disconnected=lambda: True)
    with pytest.raises(errors.RefusedError):
        forwarder.forward(req)
    assert upstream.requests == []
    assert forwarder.admission.load == 0


def test_answer_of_another_version_is_rejected(upstream):
    """The engine changed its version between the check and the response.

    The caller would get the response of another version than requested.
    """
    forwarder = make(upstream)
    with pytest.raises(errors.WrongVersionError) as caught:
        req = request(MODEL='drafts', MODEL_VERSION='v1')
        req = attrs.evolve(req, body=b'{}')
        forwarder.forward(req)
    assert caught.value.ran == 'yes'
    assert forwarder.admission.load == 0


@pytest.mark.parametrize(
    'name, text',
    [
        ('DEADLINE_MS', 'soon'),
        ('DEADLINE_MS', '-1'),
        ('WEIGHT', 'nan'),
        ('PRIORITY', '1.5'),
        ('NOT_AFTER', 'x'),
    ],
)
def test_invalid_header_is_rejected(name, text):
    with pytest.raises(errors.InvalidRequestError):
        request(**{name: text})


def test_closed_idle_connection_is_replaced():
    """The upstream closes an idle connection in the pool of a sidecar.

    An idempotent request that is lost on it is sent again at once.
    """
    kept = harness.ScriptedUpstream(lambda _: REPLY)
    try:
        forwarder = make(kept, is_engine=False)
        for _ in range(3):
            assert forwarder.forward(request()).body == [b'{}']
    finally:
        kept.close()


class RepeatingUpstream:
    """Answers each request on a connection, after its last answer once more.

    Replies hold the number of their request.
    """

    def __init__(self):
        self._sock = socket.create_server(('127.0.0.1', 0))
        self.address = httpio.Address(*self._sock.getsockname())
        self._count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn):
        last = b''
        with conn:
            while conn.recv(65536):
                self._count += 1
                text = b'%d' % self._count
                head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                reply = head % len(text) + text
                conn.sendall(last + reply)
                last = reply

    def close(self):
        """Accept no more connections."""
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def test_second_answer_to_a_request_is_not_that_to_the_next_one():
    """A caller would get the answer to the request of another caller."""
    repeating = RepeatingUpstream()
    try:
        forwarder = make(repeating, is_engine=False)
        bodies = [forwarder.forward(request()).body for _ in range(5)]
    finally:
        repeating.close()
    assert bodies == [[b'1'], [b'2'], [b'3'], [b'4'], [b'5']]
