"""Tests of requests through entry and sidecar while upstreams fail."""

import socket
import threading
import time

import pytest

from catkinshunt.entry.tests import harness
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from standins import engine
from standins import plain

COMPLETE = harness.chunked(harness.lines(0, 1), harness.lines(2, pieces=3))
BOOKED = b'HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}'


@pytest.fixture
def deployment():
    with harness.Harness(models={}, desk={}) as fixture:
        yield fixture


def test_engine_that_dies_before_headers_is_retried_elsewhere(deployment):
    """An engine accepts a request and dies before it responds.

    A model request may safely run twice, so it is retried at another engine
    and the caller sees only a delay.
    """
    deployment.scripted('a', 'models', b'', is_engine=True)
    deployment.scripted('b', 'models', COMPLETE, is_engine=True)
    for number in range(6):
        reply = deployment.generate(3, prompt=f'p{number}')
        assert reply.status == 200
        assert harness.texts(reply) == (
            ['t0', 't1', 't2'],
            {'done': True, 'pieces': 3},
        )


def test_booking_lost_before_headers_is_unknown_and_not_retried(deployment):
    """A plain service accepts a booking and dies before it responds.

    The booking may have run, and a retry could run it twice. The caller gets
    an unknown outcome.
    """
    one = deployment.scripted('a', 'desk', b'')
    two = deployment.scripted('b', 'desk', b'')
    reply = deployment.send('/desk/bookings', {'order': 1})
    assert reply.status == 502
    assert harness.error_of(reply)['ran'] == 'unknown'
    assert len(one.requests) + len(two.requests) == 1


def test_refused_connection_is_retried_elsewhere(deployment):
    """The process of an upstream is gone; its port refuses connections.

    Nothing ran, so even a booking may be retried at another upstream.
    """
    closed_upstream = harness.ScriptedUpstream(b'')
    closed_upstream.close()
    deployment.upstream('a', 'desk', closed_upstream.address)
    good = deployment.scripted('b', 'desk', BOOKED)
    for _ in range(4):
        assert deployment.send('/desk/bookings', {'order': 1}).status == 201
    assert len(good.requests) == 4


def test_rejection_by_all_upstreams_reports_not_run(deployment):
    """Every upstream of a service is gone.

    The caller is rejected at once, as not run, with a retry time.
    """
    closed_upstream = harness.ScriptedUpstream(b'')
    closed_upstream.close()
    deployment.upstream('a', 'desk', closed_upstream.address)
    reply = deployment.send('/desk/bookings', {'order': 1})
    assert (reply.status, harness.error_of(reply)['ran']) == (503, 'no')
    assert harness.error_of(reply)['retry_after_s'] > 0


def test_truncated_body_with_content_length(deployment):
    """A plain service dies in the middle of a response.

    A read is retried elsewhere; a booking is never reported as not run.
    """
    short = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
    good = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'
    deployment.scripted('a', 'desk', short)
    deployment.scripted('b', 'desk', good)
    for _ in range(4):
        assert deployment.send('/desk/stock').body == b'whole'
    with harness.Harness(desk={}) as alone:
        alone.scripted('a', 'desk', short)
        reply = alone.send('/desk/bookings', {'order': 1})
        assert harness.error_of(reply)['ran'] in ('yes', 'unknown')


def test_upstream_that_stops_in_its_head_gives_no_success():
    """Clients got a 200 with an empty or short body, framed as whole."""
    whole = (
        b'HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n'
        b'Content-Length: 5\r\n\r\nwhole'
    )
    found = {}
    for cut in range(len(whole), -1, -5):
        # An upstream that failed is not asked again for a while.
        with harness.Harness(desk={}) as alone:
            alone.scripted('a', 'desk', whole[:cut])
            reply = alone.send('/desk/bookings', {'order': 1})
            found[cut] = (reply.status, reply.body[:5])
    assert found.pop(len(whole)) == (201, b'whole')
    assert set(found.values()) == {(502, b'{"err')}


def test_body_that_ends_with_a_reset_is_not_whole(deployment):
    """A body may end with its connection, but not with a reset of it."""
    reply = b'HTTP/1.1 201 Created\r\n\r\nwhole'
    upstream = deployment.scripted('a', 'desk', reply)
    reply = deployment.send('/desk/bookings', {'order': 1})
    assert (reply.status, reply.body) == (201, b'whole')
    upstream.reset_after_s = 0.3
    with pytest.raises(errors.OutcomeUnknownError):
        deployment.send('/desk/bookings', {'order': 1})


def test_reply_to_another_exchange_is_rejected():
    """An intermediary confuses two responses.

    The caller must not get the response to another request.
    """

    def wrong(environ, start_response):
        response_headers = (
            (headers.EXCHANGE_ID, 'of another'),
            ('Content-Length', '3'),
        )
        return httpio.Response(200, [b'999'], response_headers).send(
            start_response
        )

    with (
        harness.Harness(desk={}) as deployment,
        httpio.HttpServer(wrong) as server,
    ):
        address = httpio.Address(server.host, server.port)
        deployment.directory.add('a', 'desk', address)
        reply = deployment.send('/desk/stock')
        assert reply.status == 502
        assert harness.error_of(reply)['ran'] == 'unknown'


def test_reply_of_a_sidecar_that_may_be_cut_off_is_not_relayed():
    """Callers would get a part of a body, framed as whole."""

    def answer(request):
        name = headers.EXCHANGE_ID.encode() + b': '
        line = request[request.index(name) :].partition(b'\r\n')[0]
        return b'HTTP/1.1 200 OK\r\n' + line + b'\r\n\r\npart'

    with harness.Harness(desk={}) as deployment:
        server = harness.ScriptedUpstream(answer)
        deployment.callback(server.close)
        deployment.directory.add('a', 'desk', server.address)
        reply = deployment.send('/desk/stock')
        assert reply.status == 502
        assert harness.error_of(reply)['ran'] == 'unknown'


def test_late_bytes_on_an_idle_connection_are_not_an_answer():
    """An upstream sends a second, late response after the first was read.

    It would be taken for the response to the next request, and so on for
    each request after it.
    """
    server = socket.create_server(('127.0.0.1', 0))
    pool = httpio.ConnectionPool()
    address = httpio.Address(*server.getsockname())
    conn, _ = pool.acquire(address)
    conn.connect()
    peer, _ = server.accept()
    pool.release(address, conn)
    peer.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
    fresh, used = pool.acquire(address)
    assert (fresh is conn, used) == (False, False)
    peer.close()
    server.close()


def test_leaving_sidecar_receives_no_new_requests(deployment):
    """An instance is being stopped; the instance list does not show it yet.

    A booking that it rejects is retried elsewhere, and no further request is
    sent to it.
    """
    one = deployment.scripted('a', 'desk', BOOKED)
    two = deployment.scripted('b', 'desk', BOOKED)
    deployment.apps['a'].leave()
    for number in range(12):
        assert (
            deployment.send('/desk/bookings', {'order': number}).status == 201
        )
    assert (len(one.requests), len(two.requests)) == (0, 12)
    states = {
        view.name: view.state for view in _list_upstream_views(deployment)
    }
    assert states['a'] == 'leaving'


def _list_upstream_views(deployment):
    return deployment.entry_app._selector.router.report()


def test_flood_of_a_large_account_does_not_delay_a_small_one(deployment):
    """A large account sends more requests than the queue has room for.

    Its newest are rejected at once as not run; the request of the small
    account does not wait behind the others.
    """
    released = threading.Event()
    served = []

    def app(environ, start_response):
        body = httpio.read_body(environ)
        served.append(body)
        assert released.wait(20)
        length = ('Content-Length', str(len(body)))
        return httpio.Response(200, [body], (length,)).send(start_response)

    with httpio.HttpServer(app, threads=4) as server:
        address = httpio.Address(server.host, server.port)
        side = deployment.upstream(
            'a', 'desk', address, concurrency=1, threads=14
        )
        replies = {'large': [], 'small': []}
        replies_changed = threading.Condition()

        def send(account):
            request_headers = {headers.ACCOUNT: account}
            reply = deployment.send(
                '/desk/draw', {'for': account}, **request_headers
            )
            with replies_changed:
                replies[account].append(reply)
                replies_changed.notify_all()

        threads = [
            threading.Thread(target=send, args=('large',)) for _ in range(9)
        ]
        for thread in threads:
            thread.start()
        with replies_changed:
            assert replies_changed.wait_for(
                lambda: len(replies['large']) >= 3, 20
            )
        small = threading.Thread(target=send, args=('small',))
        small.start()
        with replies_changed:
            assert replies_changed.wait_for(
                lambda: len(replies['large']) >= 4, 20
            )
        released.set()
        for thread in (*threads, small):
            thread.join(20)
        assert [reply.status for reply in replies['small']] == [200]
        assert side.admission.load == 0
    rejected = [reply for reply in replies['large'] if reply.status == 429]
    assert len(rejected) == 4
    assert {harness.error_of(reply)['ran'] for reply in rejected} == {'no'}
    assert b'small' in served[1] or b'small' in served[2]


def test_expired_deadline_is_rejected_as_not_run(deployment):
    deployment.scripted('a', 'desk', BOOKED)
    reply = deployment.send('/desk/stock', deadline_s=0)
    assert harness.error_of(reply)['ran'] == 'no'


def test_engine_without_its_model_counts_as_not_run(deployment):
    """An engine restarted without its model, unnoticed by its sidecar.

    Its "not found" is not final, as another engine has the model.
    """
    real = engine.Engine()
    real._models[harness.MODEL] = harness.VERSION
    with httpio.HttpServer(engine.Engine().app) as empty:
        with httpio.HttpServer(real.app) as full:
            for name, server in (('a', empty), ('b', full)):
                address = httpio.Address(server.host, server.port)
                deployment.upstream(name, 'models', address, is_engine=True)
            for number in range(5):
                reply = deployment.generate(4, prompt=f'p{number}')
                expected = engine.answer_pieces(
                    harness.MODEL, harness.VERSION, f'p{number}', 4
                )
                assert harness.texts(reply)[0] == expected


@pytest.mark.parametrize('prompt', ['p0', 'p1', 'p2', 'p3'])
def test_unknown_outcome_is_never_reported_as_not_run(deployment, prompt):
    """One attempt may have run, and another is rejected as not run.

    "Not run" would be false for the request, in either order of the two.
    """
    deployment.scripted('a', 'models', b'', is_engine=True)
    closed_upstream = harness.ScriptedUpstream(b'')
    closed_upstream.close()
    deployment.upstream('b', 'models', closed_upstream.address, is_engine=True)
    reply = deployment.generate(3, prompt=prompt)
    assert harness.error_of(reply)['ran'] == 'unknown'


def test_booking_is_never_sent_on_a_reused_connection():
    """A sidecar may close an idle connection while a booking is sent on it.

    Whether the booking ran would be unknown.
    """
    clients = []

    def app(environ, start_response):
        clients.append((environ['REQUEST_METHOD'], environ['REMOTE_PORT']))
        response_headers = (
            (headers.EXCHANGE_ID, environ['HTTP_CATKINSHUNT_EXCHANGE_ID']),
            ('Content-Length', '2'),
        )
        return httpio.Response(200, [b'{}'], response_headers).send(
            start_response
        )

    with (
        harness.Harness(desk={}) as deployment,
        httpio.HttpServer(app) as server,
    ):
        address = httpio.Address(server.host, server.port)
        deployment.directory.add('a', 'desk', address)
        deployment.send('/desk/stock')
        deployment.send('/desk/stock')
        deployment.send('/desk/bookings', {'order': 1})
    ports = [port for _, port in clients]
    assert ports[0] == ports[1] != ports[2]


def test_half_of_the_upstreams_unreachable(deployment):
    """Half of the upstreams die at once while requests arrive.

    Each request is served, and after the first failures hardly any
    connection to the dead ones is attempted.
    """
    for name in ('a', 'b', 'c', 'd'):
        if name in ('a', 'c'):
            closed_upstream = harness.ScriptedUpstream(b'')
            closed_upstream.close()
            deployment.upstream(name, 'desk', closed_upstream.address)
        else:
            deployment.scripted(name, 'desk', BOOKED)
    for number in range(30):
        assert (
            deployment.send('/desk/bookings', {'order': number}).status == 201
        )
    tries = 30 + sum(
        view.state == 'suspect' for view in _list_upstream_views(deployment)
    )
    assert tries == 32
    assert deployment.entry_app._retry.budget.report()['tokens'] > 5


def test_upstream_that_says_it_leaves_receives_no_new_requests(deployment):
    """The sidecar is well, but the upstream beside it is being stopped."""
    services = [plain.PlainService(), plain.PlainService()]
    for name, service in zip('ab', services, strict=True):
        server = deployment.enter_context(httpio.HttpServer(service.app))
        address = httpio.Address(server.host, server.port)
        deployment.upstream(name, 'desk', address)
    services[0].statements.is_leaving = True
    for number in range(12):
        reply = deployment.send('/desk/bookings', {'order': str(number)})
        assert reply.status == 201
    assert len(services[0].bookings) <= 1


def test_upstream_that_asks_for_back_off_receives_no_requests(deployment):
    """Each request would press on the upstream and come back in vain."""
    service = plain.PlainService()
    server = deployment.enter_context(httpio.HttpServer(service.app))
    address = httpio.Address(server.host, server.port)
    deployment.upstream('a', 'desk', address)
    service.statements.back_off_s = 30.0
    deployment.send('/desk/bookings', {'order': 'x'})
    service.statements.back_off_s = None
    replies = [
        deployment.send('/desk/bookings', {'order': 'x'}) for _ in range(3)
    ]
    assert not service.bookings
    assert {reply.status for reply in replies} == {503}
    for reply in replies:
        assert 25 < float(reply.headers['Retry-After']) <= 30


def test_sidecar_sends_nothing_during_a_back_off(deployment):
    """Entries that were not told yet would press on it together."""
    service = plain.PlainService()
    server = deployment.enter_context(httpio.HttpServer(service.app))
    address = httpio.Address(server.host, server.port)
    deployment.upstream('a', 'desk', address)
    deployment.apps['a'].placement.upstream_status.observe(
        503, {'Retry-After': '30'}.get, time.monotonic()
    )
    assert deployment.send('/desk/bookings', {'order': 'x'}).status == 503
    assert not service.bookings
