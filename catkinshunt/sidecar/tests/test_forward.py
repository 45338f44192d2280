"""Tests of what a sidecar does with an admitted request."""

import io
import time

import attrs
import pytest

from catkinshunt.entry.tests import harness
from catkinshunt import errors
from catkinshunt import limits
from catkinshunt import settings
from catkinshunt.sidecar import _forward
from catkinshunt.sidecar import _request

REPLY = b'HTTP/1.1 200 OK\r\nModel-Version: v2\r\nContent-Length: 2\r\n\r\n{}'


@pytest.fixture
def upstream():
    made = harness.ScriptedUpstream(REPLY)
    yield made
    made.close()


def make(upstream, is_engine=True):
    cfg = harness.PLACE | {
        'service': 'models',
        'upstream': str(upstream.address),
        'is_engine': is_engine,
        # Demanded beside an engine; nothing listens there here.
        'port': 8080,
    }
    cfg = settings.structure(cfg, settings.SidecarSettings)
    admission = limits.Admission(limits.FairQueue())
    return _forward.Forwarder(cfg, admission)


def request(**given):
    environ = {'REQUEST_METHOD': 'POST', 'CONTENT_LENGTH': '0'}
    environ['wsgi.input'] = io.BytesIO()
    for name, value in given.items():
        environ[f'HTTP_CATKINSHUNT_{name}'] = value
    return _request.Forwarded.from_environ(
        environ, '/generate', time.monotonic()
    )


@pytest.mark.parametrize(
    'given, step',
    [
        ({'DEADLINE_MS': '0'}, 'deadline'),
        ({'ATTEMPT_ID': 'a1', 'NOT_AFTER': '5.0'}, 'deadline'),
    ],
)
def test_nothing_is_dispatched_after_its_deadline(upstream, given, step):
    """A sidecar was paused, or a message came very late.

    The entry counts the try as over by then; to run it now could run a
    booking beside its repeat.
    """
    forwarder = make(upstream, is_engine=False)
    with pytest.raises(errors.RefusedError) as caught:
        forwarder.forward(request(**given))
    assert (caught.value.ran, upstream.requests) == ('no', [])
    assert forwarder.admission.load == 0


def test_caller_that_has_gone_is_not_served(upstream):
    """A caller gives up while its request waits beside a busy upstream.

    To run it all the same would hold up those who still wait.
    """
    forwarder = make(upstream, is_engine=False)
    req = request()
    req = attrs.evolve(req, is_gone=lambda: True)
    with pytest.raises(errors.RefusedError):
        forwarder.forward(req)
    assert upstream.requests == []
    assert forwarder.admission.load == 0


def test_answer_of_another_version_is_refused(upstream):
    """The engine changed its version between the check and the answer.

    The caller would get the answer of a model that it was not routed for.
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
def test_wrong_headers_are_named(name, text):
    with pytest.raises(errors.InvalidRequestError):
        request(**{name: text})


def test_kept_connection_that_was_closed_costs_no_answer():
    """The upstream closes a connection that a sidecar has kept.

    A read that is lost on it is sent again at once.
    """
    kept = harness.ScriptedUpstream(lambda _: REPLY)
    try:
        forwarder = make(kept, is_engine=False)
        for _ in range(3):
            assert forwarder.forward(request()).body == [b'{}']
    finally:
        kept.close()
