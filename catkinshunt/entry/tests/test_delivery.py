"""Tests of delivering one request over several attempts."""

import types

import pytest

from catkinshunt.entry import _delivery
from catkinshunt.entry import _request
from catkinshunt.entry.tests import harness
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import retries
from catkinshunt import routing


class UpstreamSelector:
    """Selects a new upstream for each attempt."""

    def choose(self, wanted, now, policy_name=None):
        name = f'upstream-{len(wanted.excluded)}'
        address = httpio.Address('127.0.0.1', 1)
        view = routing.UpstreamView(name, address, wanted.service)
        return routing.Choice(view, 'test', 1)

    def observe(self, observation, now):
        pass


class Relay:
    """Returns or raises the next of `results` for each attempt."""

    def __init__(self, *results):
        self.results = list(results)

    def open(self, *args, **kwargs):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def read(self, open_resp):
        yield from open_resp.pieces


def open_resp(version, *pieces):
    """Return a streamed response of a model version."""
    reply = types.SimpleNamespace(
        status=200, length=None, getheader=lambda name, default=None: default
    )
    return types.SimpleNamespace(
        address='127.0.0.1:1',
        conn=None,
        resp=reply,
        is_stream=True,
        model_version=version,
        pieces=pieces,
        close=lambda: None,
    )


def deliver(relay):
    req = _request.CallerRequest(
        request_id='r',
        service='models',
        path='/generate',
        method='POST',
        account='acme',
        model='drafts',
        idempotency_key='',
        deadline=float('inf'),
        body=b'{}',
        content_type='application/json',
    )
    route = types.SimpleNamespace(
        service='models', version=None, policy=None, account_weight=1
    )
    rule = types.SimpleNamespace(name='route', then=route)
    retry = retries.RetryPolicy()
    return _delivery.Delivery(
        UpstreamSelector(), relay, retry, req, rule
    ).deliver()


def test_rejection_after_an_attempt_that_may_have_run_is_outcome_unknown():
    """The first engine dies before it responds; all others reject.

    "Not run" holds for the last attempt only. Passed on to the caller, it
    would claim that the whole request did not run.
    """
    rejection = errors.OverloadedError('queue is full', retry_after_s=2.0)
    relay = Relay(errors.OutcomeUnknownError('no reply'), rejection, rejection)
    with pytest.raises(errors.RequestError) as caught:
        deliver(relay)
    assert caught.value.ran == 'unknown'
    assert caught.value.retry_after_s == 2.0


def test_stream_is_not_resumed_from_another_version():
    """An engine dies during a stream; the next one has another version.

    The sidecar of the next one is an older build, which does not check the
    requested version.
    """
    relay = Relay(
        open_resp('v1', harness.lines(0)),
        open_resp('v2', harness.lines(1, pieces=2)),
    )
    got = []
    with pytest.raises(errors.IncompleteAnswerError):
        got.extend(deliver(relay).body)
    assert got[0] == harness.lines(0)
    assert b'incomplete' in got[1]
    assert len(got) == 2
