"""Tests of bringing one request to its answer over several tries."""

import types

import pytest

from catkinshunt.entry import _delivery
from catkinshunt.entry import _request
from catkinshunt.entry.tests import harness
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import retries
from catkinshunt import routing


class Fleet:
    """Gives a new upstream for each try."""

    def choose(self, wanted, now, policy_name=None):
        name = f'upstream-{len(wanted.excluded)}'
        address = httpio.Address('127.0.0.1', 1)
        view = routing.UpstreamView(name, address, wanted.service)
        return routing.Choice(view, 'test', 1)

    def observe(self, observation, now):
        pass


class Relay:
    """Answers each try with the next of `results`."""

    def __init__(self, *results):
        self.results = list(results)

    def open(self, *args, **kwargs):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def read(self, opened):
        yield from opened.pieces


def opened(version, *pieces):
    """Return a stream of `pieces` that a model version answers with."""
    reply = types.SimpleNamespace(
        status=200, length=None, getheader=lambda name, default=None: default
    )
    return types.SimpleNamespace(
        address='127.0.0.1:1',
        conn=None,
        resp=reply,
        streamed=True,
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
    return _delivery.Delivery(Fleet(), relay, retry, req, rule).answer()


def test_refusal_after_a_try_that_may_have_run_is_not_told_as_not_run():
    """The first runner dies without an answer and all others refuse.

    The last refusal is true for its own try only. Told as it is, the caller
    would take the whole request for not run.
    """
    refusal = errors.OverloadedError('no place', retry_after_s=2.0)
    relay = Relay(errors.OutcomeUnknownError('no reply'), refusal, refusal)
    with pytest.raises(errors.RequestError) as caught:
        deliver(relay)
    assert caught.value.ran == 'unknown'
    assert caught.value.retry_after_s == 2.0


def test_stream_does_not_go_on_from_another_version():
    """A runner dies, and the sidecar of the next one is of an older build.

    It does not look at the version asked for, and its engine has changed.
    """
    relay = Relay(
        opened('v1', harness.lines(0)),
        opened('v2', harness.lines(1, pieces=2)),
    )
    got = []
    with pytest.raises(errors.IncompleteAnswerError):
        got.extend(deliver(relay).body)
    assert got[0] == harness.lines(0)
    assert b'incomplete' in got[1]
    assert len(got) == 2
