"""Tests of streamed responses while engines fail."""

import http.client
import json
import threading

import pytest

from catkinshunt.entry import _request
from catkinshunt.entry.tests import harness
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import rules


@pytest.fixture
def deployment():
    with harness.Harness(models={}, desk={}) as fixture:
        yield fixture


def test_broken_stream_is_resumed_elsewhere(deployment):
    """An engine dies during a stream, in the middle of a line.

    Another engine of the same version continues at the next piece; the
    caller gets the complete response with each piece once.
    """
    cut = harness.chunked(harness.lines(0, 1), b'{"index": 2, "te', end=False)
    rest = harness.chunked(harness.lines(2, pieces=3))

    def reply(request):
        return rest if b'"resume_from": 2' in request else cut

    one = deployment.scripted('a', 'models', reply, is_engine=True)
    two = deployment.scripted('b', 'models', reply, is_engine=True)
    answer = harness.texts(deployment.generate(3))
    assert answer == (['t0', 't1', 't2'], {'done': True, 'pieces': 3})
    assert (len(one.requests), len(two.requests)) == (1, 1)


@pytest.mark.parametrize(
    'body',
    [
        harness.lines(0, 1),
        harness.lines(0, 1, pieces=3),
        harness.lines(0, 2, pieces=3),
        harness.lines(0, 0, 1, pieces=2),
        b'{"index": 0}\nnonsense\n',
    ],
    ids=['no end', 'too few', 'gap', 'twice', 'nonsense'],
)
def test_incomplete_stream_never_ends_as_complete(deployment, body):
    """An engine ends its stream properly, but pieces are wrong.

    The caller must not take a truncated response for a complete one. It gets
    an error line and a broken connection.
    """
    deployment.scripted('a', 'models', harness.chunked(body), is_engine=True)
    got = deployment.generate_broken(3)
    last = json.loads(got.splitlines()[-1])
    assert last['error']['code'] == 'incomplete'
    assert b'"done"' not in got


def test_stream_is_never_resumed_from_another_version(deployment):
    """An engine dies and the other one has loaded a new version.

    A response must not mix the pieces of two versions.
    """
    cut = harness.chunked(harness.lines(0), end=False)
    new = harness.chunked(harness.lines(1, 2, pieces=3), version='v2')

    def reply(request):
        return new if b'resume_from' in request else cut

    deployment.scripted('a', 'models', reply, is_engine=True)
    deployment.scripted('b', 'models', reply, is_engine=True)
    got = deployment.generate_broken(3)
    assert json.loads(got.splitlines()[-1])['error']['code'] == 'incomplete'
    assert got.startswith(harness.lines(0))
    assert harness.lines(1) not in got


def test_disconnected_caller_cancels_the_engine_request(deployment):
    """A caller disconnects in the middle of a long response.

    Unless cancelled, the engine would continue and occupy a slot that other
    requests wait for.
    """
    cancelled = threading.Event()
    disconnected = threading.Event()

    def app(environ, start_response):
        body = httpio.read_body(environ)
        if environ['PATH_INFO'] == '/cancel':
            assert json.loads(body)['request_id']
            cancelled.set()
            return httpio.Response.of_json(200, {}).send(start_response)
        content_type = ('Content-Type', 'application/x-ndjson')
        version = ('Model-Version', harness.VERSION)
        return httpio.Response(200, pieces(), (content_type, version)).send(
            start_response
        )

    def pieces():
        for index in range(100_000):
            if index == 1:
                assert disconnected.wait(20)
            if cancelled.is_set():
                return
            yield harness.lines(index)

    with httpio.HttpServer(app, threads=4) as server:
        address = httpio.Address(server.host, server.port)
        deployment.upstream('a', 'models', address, is_engine=True)
        conn = http.client.HTTPConnection(
            deployment.entry.host, deployment.entry.port
        )
        generate_body = {'model': harness.MODEL, 'prompt': 'x'}
        conn.request('POST', '/models/generate', json.dumps(generate_body))
        resp = conn.getresponse()
        assert resp.read1().startswith(b'{"index": 0')
        resp.close()
        conn.close()
        disconnected.set()
        assert cancelled.wait(20)
        assert deployment.apps['a'].admission.join(20)


def test_stalled_stream_is_resumed_elsewhere(deployment):
    """An engine freezes during a stream; its connection stays open.

    Without a timeout the caller would wait for the next piece until the
    deadline.
    """
    deployment.entry_app._relay.stall_timeout_s = 0.2
    released = threading.Event()

    def app(environ, start_response):
        generate_body = json.loads(httpio.read_body(environ))
        content_type = ('Content-Type', 'application/x-ndjson')
        version = ('Model-Version', harness.VERSION)
        return httpio.Response(
            200, pieces(generate_body), (content_type, version)
        ).send(start_response)

    def pieces(generate_body):
        if 'resume_from' not in generate_body:
            yield harness.lines(0)
            released.wait(20)
            return
        yield harness.lines(*range(generate_body['resume_from'], 2), pieces=2)

    with httpio.HttpServer(app, threads=8) as server:
        address = httpio.Address(server.host, server.port)
        for name in ('a', 'b'):
            deployment.upstream(name, 'models', address, is_engine=True)
        answer = harness.texts(deployment.generate(2))
        released.set()
    assert answer == (['t0', 't1'], {'done': True, 'pieces': 2})


def test_planned_stop_finishes_a_stream(deployment):
    """An entry and a sidecar are stopped during a stream.

    The stream is finished; a later request is rejected as not run.
    """
    started, released = threading.Event(), threading.Event()

    def app(environ, start_response):
        httpio.read_body(environ)
        content_type = ('Content-Type', 'application/x-ndjson')
        version = ('Model-Version', harness.VERSION)
        return httpio.Response(200, pieces(), (content_type, version)).send(
            start_response
        )

    def pieces():
        yield harness.lines(0)
        started.set()
        assert released.wait(20)
        yield harness.lines(1, pieces=2)

    with httpio.HttpServer(app, threads=4) as server:
        address = httpio.Address(server.host, server.port)
        side = deployment.upstream('a', 'models', address, is_engine=True)
        replies = []
        thread = threading.Thread(
            target=lambda: replies.append(deployment.generate(2))
        )
        thread.start()
        assert started.wait(20)
        side.leave()
        deployment.entry_app.leave()
        late = deployment.generate(2)
        assert (late.status, harness.error_of(late)['code']) == (
            503,
            'leaving',
        )
        assert harness.error_of(late)['ran'] == 'no'
        assert not deployment.entry.join(0.05)
        released.set()
        assert deployment.entry.join(20) and side.admission.join(20)
        thread.join(20)
    assert harness.texts(replies[0]) == (
        ['t0', 't1'],
        {'done': True, 'pieces': 2},
    )


def test_entry_checks_the_version_of_a_resumed_stream():
    """A sidecar of an older release resumes from any loaded version.

    A response must not mix the pieces of two versions.
    """

    def app(environ, start_response):
        generate_body = json.loads(httpio.read_body(environ))
        resumed = 'resume_from' in generate_body
        response_headers = (
            ('Content-Type', 'application/x-ndjson'),
            ('Model-Version', 'v2' if resumed else 'v1'),
            (headers.EXCHANGE_ID, environ['HTTP_CATKINSHUNT_EXCHANGE_ID']),
        )
        body = harness.lines(1, pieces=2) if resumed else harness.lines(0)
        return httpio.Response(200, iter([body]), response_headers).send(
            start_response
        )

    with (
        harness.Harness(models={}) as deployment,
        httpio.HttpServer(app) as server,
    ):
        address = httpio.Address(server.host, server.port)
        for name in ('a', 'b'):
            deployment.directory.add(name, 'models', address)
        got = deployment.generate_broken(2)
    assert harness.lines(1) not in got
    assert json.loads(got.splitlines()[-1])['error']['code'] == 'incomplete'


def test_incomplete_stream_does_not_close_a_pooled_connection():
    """A stream ends properly, but a piece is missing.

    Its connection is back in the pool by then. If the entry closed it, the
    next request on it would fail without a proper error.
    """

    def app(environ, start_response):
        generate_body = json.loads(httpio.read_body(environ))
        good = generate_body['prompt'] == 'good'
        response_headers = (
            ('Content-Type', 'application/x-ndjson'),
            ('Model-Version', 'v1'),
            (headers.EXCHANGE_ID, environ['HTTP_CATKINSHUNT_EXCHANGE_ID']),
        )
        body = harness.lines(0, pieces=1) if good else harness.lines(0)
        return httpio.Response(200, iter([body]), response_headers).send(
            start_response
        )

    with (
        harness.Harness(models={}) as deployment,
        httpio.HttpServer(app) as server,
    ):
        address = httpio.Address(server.host, server.port)
        deployment.directory.add('a', 'models', address)
        deployment.entry_app._retry.max_tries = 1
        deployment.generate_broken(1)
        deployment.directory.revision += 1
        deployment.directory.instances = ()
        assert deployment.generate(1, prompt='good').status == 503
        deployment.directory.add('b', 'models', address)
        assert deployment.generate(1, prompt='good').status == 200


def test_wait_for_a_piece_has_a_timeout(deployment):
    deployment.scripted(
        'a', 'models', harness.chunked(harness.lines(0)), is_engine=True
    )
    relay = deployment.entry_app._relay
    relay.stall_timeout_s = 0.25
    server = deployment.servers['a']
    req = _request.CallerRequest(
        request_id='r',
        service='models',
        path='/generate',
        method='POST',
        account='',
        model=harness.MODEL,
        idempotency_key='',
        deadline=20.0,
        body=b'{}',
        content_type='',
    )
    open_resp = relay.open(
        req,
        rules.Route(service='models'),
        httpio.Address(server.host, server.port),
        now=0.0,
    )
    assert open_resp.sock.gettimeout() == 0.25
    open_resp.close()
