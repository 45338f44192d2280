"""Streamed answers through an entry and sidecars while engines fail."""

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
def run():
    with harness.Flow(models={}, desk={}) as made:
        yield made


def test_stream_dies_and_goes_on_elsewhere(run):
    """An engine dies while it streams, in the middle of a line.

    Another runner of the same version goes on at the next piece; the caller
    gets each piece once and the whole answer.
    """
    cut = harness.chunked(harness.lines(0, 1), b'{"index": 2, "te', end=False)
    rest = harness.chunked(harness.lines(2, pieces=3))

    def reply(request):
        return rest if b'"resume_from": 2' in request else cut

    one = run.scripted('a', 'models', reply, is_engine=True)
    two = run.scripted('b', 'models', reply, is_engine=True)
    answer = harness.texts(run.generate(3))
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
def test_stream_that_is_not_whole_never_passes_as_whole(run, body):
    """An engine ends its stream politely but pieces are missing or doubled.

    The caller would take a fault explanation that is cut off for the whole.
    It gets a last line that names the error, and no proper end.
    """
    run.scripted('a', 'models', harness.chunked(body), is_engine=True)
    got = run.generate_broken(3)
    last = json.loads(got.splitlines()[-1])
    assert last['error']['code'] == 'incomplete'
    assert b'"done"' not in got


def test_other_version_never_goes_on_with_a_stream(run):
    """A runner dies and the other one has changed to a new version.

    Pieces of both would make an answer of neither model.
    """
    cut = harness.chunked(harness.lines(0), end=False)
    new = harness.chunked(harness.lines(1, 2, pieces=3), version='v2')

    def reply(request):
        return new if b'resume_from' in request else cut

    run.scripted('a', 'models', reply, is_engine=True)
    run.scripted('b', 'models', reply, is_engine=True)
    got = run.generate_broken(3)
    assert json.loads(got.splitlines()[-1])['error']['code'] == 'incomplete'
    assert got.startswith(harness.lines(0))
    assert harness.lines(1) not in got


def test_caller_goes_away_and_the_engine_is_told(run):
    """A caller hangs up in the middle of a long answer.

    The engine would go on for nobody and hold a place that others wait for.
    """
    cancelled = threading.Event()
    gone = threading.Event()

    def app(environ, start_response):
        body = httpio.read_body(environ)
        if environ['PATH_INFO'] == '/cancel':
            assert json.loads(body)['request_id']
            cancelled.set()
            return httpio.Response.of_json(200, {}).send(start_response)
        kind = ('Content-Type', 'application/x-ndjson')
        version = ('Model-Version', harness.VERSION)
        return httpio.Response(200, pieces(), (kind, version)).send(
            start_response
        )

    def pieces():
        for index in range(100_000):
            if index == 1:
                assert gone.wait(20)
            if cancelled.is_set():
                return
            yield harness.lines(index)

    with httpio.HttpServer(app, threads=4) as server:
        address = httpio.Address(server.host, server.port)
        run.upstream('a', 'models', address, is_engine=True)
        conn = http.client.HTTPConnection(run.entry.host, run.entry.port)
        asked = {'model': harness.MODEL, 'prompt': 'x'}
        conn.request('POST', '/models/generate', json.dumps(asked))
        resp = conn.getresponse()
        assert resp.read1().startswith(b'{"index": 0')
        resp.close()
        conn.close()
        gone.set()
        assert cancelled.wait(20)
        assert run.apps['a'].admission.join(20)


def test_engine_that_stalls_is_left_for_another(run):
    """An engine freezes in the middle of an answer; its connection stays.

    The caller would wait until the deadline for a piece that never comes.
    """
    run.entry_app._relay.stall_s = 0.2
    freed = threading.Event()

    def app(environ, start_response):
        asked = json.loads(httpio.read_body(environ))
        kind = ('Content-Type', 'application/x-ndjson')
        version = ('Model-Version', harness.VERSION)
        return httpio.Response(200, pieces(asked), (kind, version)).send(
            start_response
        )

    def pieces(asked):
        if 'resume_from' not in asked:
            yield harness.lines(0)
            freed.wait(20)
            return
        yield harness.lines(*range(asked['resume_from'], 2), pieces=2)

    with httpio.HttpServer(app, threads=8) as server:
        address = httpio.Address(server.host, server.port)
        for name in ('a', 'b'):
            run.upstream(name, 'models', address, is_engine=True)
        answer = harness.texts(run.generate(2))
        freed.set()
    assert answer == (['t0', 't1'], {'done': True, 'pieces': 2})


def test_planned_stop_cuts_nothing(run):
    """An entry and a sidecar are stopped while a long answer is on its way.

    It comes to its end; a request that comes later is refused as not run.
    """
    going, freed = threading.Event(), threading.Event()

    def app(environ, start_response):
        httpio.read_body(environ)
        kind = ('Content-Type', 'application/x-ndjson')
        version = ('Model-Version', harness.VERSION)
        return httpio.Response(200, pieces(), (kind, version)).send(
            start_response
        )

    def pieces():
        yield harness.lines(0)
        going.set()
        assert freed.wait(20)
        yield harness.lines(1, pieces=2)

    with httpio.HttpServer(app, threads=4) as server:
        address = httpio.Address(server.host, server.port)
        side = run.upstream('a', 'models', address, is_engine=True)
        replies = []
        thread = threading.Thread(
            target=lambda: replies.append(run.generate(2))
        )
        thread.start()
        assert going.wait(20)
        side.leave()
        run.entry_app.leave()
        late = run.generate(2)
        assert (late.status, harness.error_of(late)['code']) == (
            503,
            'leaving',
        )
        assert harness.error_of(late)['ran'] == 'no'
        assert not run.entry.join(0.05)
        freed.set()
        assert run.entry.join(20) and side.admission.join(20)
        thread.join(20)
    assert harness.texts(replies[0]) == (
        ['t0', 't1'],
        {'done': True, 'pieces': 2},
    )


def test_sidecar_that_does_not_check_versions_mixes_none():
    """A sidecar of an older release goes on from whatever its engine holds.

    Pieces of two versions would make an answer of neither model.
    """

    def app(environ, start_response):
        asked = json.loads(httpio.read_body(environ))
        resumed = 'resume_from' in asked
        given = (
            ('Content-Type', 'application/x-ndjson'),
            ('Model-Version', 'v2' if resumed else 'v1'),
            (headers.EXCHANGE_ID, environ['HTTP_CATKINSHUNT_EXCHANGE_ID']),
        )
        body = harness.lines(1, pieces=2) if resumed else harness.lines(0)
        return httpio.Response(200, iter([body]), given).send(start_response)

    with harness.Flow(models={}) as run, httpio.HttpServer(app) as server:
        address = httpio.Address(server.host, server.port)
        for name in ('a', 'b'):
            run.directory.add(name, 'models', address)
        got = run.generate_broken(2)
    assert harness.lines(1) not in got
    assert json.loads(got.splitlines()[-1])['error']['code'] == 'incomplete'


def test_stream_that_is_not_whole_leaves_kept_connections_alone():
    """A stream ends as it should, but a piece is missing.

    Its connection was kept again by then; the entry closed it all the same,
    and the next request on it failed without an error that anyone could read.
    """

    def app(environ, start_response):
        asked = json.loads(httpio.read_body(environ))
        good = asked['prompt'] == 'good'
        given = (
            ('Content-Type', 'application/x-ndjson'),
            ('Model-Version', 'v1'),
            (headers.EXCHANGE_ID, environ['HTTP_CATKINSHUNT_EXCHANGE_ID']),
        )
        body = harness.lines(0, pieces=1) if good else harness.lines(0)
        return httpio.Response(200, iter([body]), given).send(start_response)

    with harness.Flow(models={}) as run, httpio.HttpServer(app) as server:
        address = httpio.Address(server.host, server.port)
        run.directory.add('a', 'models', address)
        run.entry_app._retry.max_tries = 1
        run.generate_broken(1)
        run.directory.revision += 1
        run.directory.instances = ()
        assert run.generate(1, prompt='good').status == 503
        run.directory.add('b', 'models', address)
        assert run.generate(1, prompt='good').status == 200


def test_wait_for_a_piece_is_bounded(run):
    run.scripted(
        'a', 'models', harness.chunked(harness.lines(0)), is_engine=True
    )
    relay = run.entry_app._relay
    relay.stall_s = 0.25
    server = run.servers['a']
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
    opened = relay.open(
        req,
        rules.Route(service='models'),
        httpio.Address(server.host, server.port),
        now=0.0,
    )
    assert opened.sock.gettimeout() == 0.25
    opened.close()
