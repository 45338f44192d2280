"""Requests through an entry and sidecars while upstreams fail."""

import socket
import threading

import pytest

from catkinshunt.entry.tests import harness
from catkinshunt import httpio
from catkinshunt.httpio import headers
from standins import engine

WHOLE = harness.chunked(harness.lines(0, 1), harness.lines(2, pieces=3))
BOOKED = b'HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}'


@pytest.fixture
def run():
    with harness.Flow(models={}, desk={}) as made:
        yield made


def test_dies_before_headers_then_answered_elsewhere(run):
    """An engine takes a request and dies before it says a word.

    The model request does no harm twice, so it is sent to another runner,
    and the caller notices only a little time.
    """
    run.scripted('a', 'models', b'', is_engine=True)
    run.scripted('b', 'models', WHOLE, is_engine=True)
    for number in range(6):
        reply = run.generate(3, prompt=f'p{number}')
        assert reply.status == 200
        assert harness.texts(reply) == (
            ['t0', 't1', 't2'],
            {'done': True, 'pieces': 3},
        )


def test_booking_lost_before_headers_is_unknown_and_not_repeated(run):
    """A plain service takes a booking and dies before it answers.

    It may have booked. Sent elsewhere it might book twice, so the caller is
    told that nobody knows.
    """
    one = run.scripted('a', 'desk', b'')
    two = run.scripted('b', 'desk', b'')
    reply = run.ask('/desk/bookings', {'order': 1})
    assert reply.status == 502
    assert harness.error_of(reply)['ran'] == 'unknown'
    assert len(one.requests) + len(two.requests) == 1


def test_refused_connection_is_not_run_and_goes_elsewhere(run):
    """The upstream's process is gone and its port refuses connections.

    Nothing ran, so even a booking may go to another upstream.
    """
    gone = harness.ScriptedUpstream(b'')
    gone.close()
    run.upstream('a', 'desk', gone.address)
    good = run.scripted('b', 'desk', BOOKED)
    for _ in range(4):
        assert run.ask('/desk/bookings', {'order': 1}).status == 201
    assert len(good.requests) == 4


def test_all_refused_says_not_run(run):
    """Every upstream of a service is gone.

    The caller gets its refusal at once, as not run, with when to come back.
    """
    gone = harness.ScriptedUpstream(b'')
    gone.close()
    run.upstream('a', 'desk', gone.address)
    reply = run.ask('/desk/bookings', {'order': 1})
    assert (reply.status, harness.error_of(reply)['ran']) == (503, 'no')
    assert harness.error_of(reply)['retry_after_s'] > 0


def test_short_answer_of_known_length(run):
    """A plain service dies in the middle of an answer.

    A read is asked again elsewhere; a booking has run, and says so.
    """
    short = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
    good = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'
    run.scripted('a', 'desk', short)
    run.scripted('b', 'desk', good)
    for _ in range(4):
        assert run.ask('/desk/stock').body == b'whole'
    with harness.Flow(desk={}) as alone:
        alone.scripted('a', 'desk', short)
        reply = alone.ask('/desk/bookings', {'order': 1})
        assert harness.error_of(reply)['ran'] in ('yes', 'unknown')


def test_reply_to_another_exchange_is_refused():
    """A reply crosses with another one on its way through something between.

    The caller must not get somebody else's answer, here a stock figure.
    """

    def wrong(environ, start_response):
        given = ((headers.EXCHANGE_ID, 'of another'), ('Content-Length', '3'))
        return httpio.Response(200, [b'999'], given).send(start_response)

    with harness.Flow(desk={}) as run, httpio.HttpServer(wrong) as server:
        address = httpio.Address(server.host, server.port)
        run.directory.add('a', 'desk', address)
        reply = run.ask('/desk/stock')
        assert reply.status == 502
        assert harness.error_of(reply)['ran'] == 'unknown'


def test_late_bytes_on_a_kept_connection_are_not_an_answer():
    """An upstream sends a second, late reply after the first was read.

    Taken for the answer to the next request it would be a wrong one, and so
    on for each request after it.
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


def test_leaving_sidecar_gets_nothing_new(run):
    """An instance is stopped as planned; the list does not say so yet.

    Its refusal, not run, sends the booking elsewhere, and from then on
    nothing goes to it.
    """
    one = run.scripted('a', 'desk', BOOKED)
    two = run.scripted('b', 'desk', BOOKED)
    run.apps['a'].leave()
    for number in range(12):
        assert run.ask('/desk/bookings', {'order': number}).status == 201
    assert (len(one.requests), len(two.requests)) == (0, 12)
    states = {view.name: view.state for view in _views(run)}
    assert states['a'] == 'leaving'


def _views(run):
    return run.entry_app._fleet.router.report()


def test_large_account_flood_does_not_hold_up_a_small_one(run):
    """A large account sends more than the upstream's queue holds at once.

    Its newest are refused at once as not run; the small account's request
    does not wait behind the rest.
    """
    freed = threading.Event()
    served = []

    def app(environ, start_response):
        body = httpio.read_body(environ)
        served.append(body)
        assert freed.wait(20)
        length = ('Content-Length', str(len(body)))
        return httpio.Response(200, [body], (length,)).send(start_response)

    with httpio.HttpServer(app, threads=4) as server:
        address = httpio.Address(server.host, server.port)
        side = run.upstream('a', 'desk', address, concurrency=1, threads=14)
        replies = {'large': [], 'small': []}
        fair = threading.Condition()

        def ask(account):
            given = {headers.ACCOUNT: account}
            reply = run.ask('/desk/draw', {'for': account}, **given)
            with fair:
                replies[account].append(reply)
                fair.notify_all()

        threads = [
            threading.Thread(target=ask, args=('large',)) for _ in range(9)
        ]
        for thread in threads:
            thread.start()
        with fair:
            assert fair.wait_for(lambda: len(replies['large']) >= 3, 20)
        small = threading.Thread(target=ask, args=('small',))
        small.start()
        with fair:
            assert fair.wait_for(lambda: len(replies['large']) >= 4, 20)
        freed.set()
        for thread in (*threads, small):
            thread.join(20)
        assert [reply.status for reply in replies['small']] == [200]
        assert side.admission.load == 0
    refused = [reply for reply in replies['large'] if reply.status == 429]
    assert len(refused) == 4
    assert {harness.error_of(reply)['ran'] for reply in refused} == {'no'}
    assert b'small' in served[1] or b'small' in served[2]


def test_deadline_is_passed_on_and_refused_when_over(run):
    run.scripted('a', 'desk', BOOKED)
    reply = run.ask('/desk/stock', deadline_s=0)
    assert harness.error_of(reply)['ran'] == 'no'


def test_engine_that_lost_its_model_counts_as_not_run(run):
    """An engine was restarted and has no model; its sidecar does not know.

    Its "not found" is no answer, as another runner has the model.
    """
    real = engine.Engine()
    real._models[harness.MODEL] = harness.VERSION
    with httpio.HttpServer(engine.Engine().app) as empty:
        with httpio.HttpServer(real.app) as full:
            for name, server in (('a', empty), ('b', full)):
                address = httpio.Address(server.host, server.port)
                run.upstream(name, 'models', address, is_engine=True)
            for number in range(5):
                reply = run.generate(4, prompt=f'p{number}')
                expected = engine.answer_pieces(
                    harness.MODEL, harness.VERSION, f'p{number}', 4
                )
                assert harness.texts(reply)[0] == expected


@pytest.mark.parametrize('prompt', ['p0', 'p1', 'p2', 'p3'])
def test_unknown_is_never_turned_into_not_run(run, prompt):
    """One try may have run, and another is refused as not run.

    "Not run" would be a lie for the request, whichever came first.
    """
    run.scripted('a', 'models', b'', is_engine=True)
    gone = harness.ScriptedUpstream(b'')
    gone.close()
    run.upstream('b', 'models', gone.address, is_engine=True)
    reply = run.generate(3, prompt=prompt)
    assert harness.error_of(reply)['ran'] == 'unknown'


def test_booking_never_goes_on_a_kept_connection():
    """A sidecar may close a kept connection just as a booking is sent on it.

    Nobody could tell whether it ran, and the caller would be told so.
    """
    clients = []

    def app(environ, start_response):
        clients.append((environ['REQUEST_METHOD'], environ['REMOTE_PORT']))
        given = (
            (headers.EXCHANGE_ID, environ['HTTP_CATKINSHUNT_EXCHANGE_ID']),
            ('Content-Length', '2'),
        )
        return httpio.Response(200, [b'{}'], given).send(start_response)

    with harness.Flow(desk={}) as run, httpio.HttpServer(app) as server:
        address = httpio.Address(server.host, server.port)
        run.directory.add('a', 'desk', address)
        run.ask('/desk/stock')
        run.ask('/desk/stock')
        run.ask('/desk/bookings', {'order': 1})
    ports = [port for _, port in clients]
    assert ports[0] == ports[1] != ports[2]


def test_half_of_the_upstreams_gone(run):
    """Half of the upstreams die at once while requests go on.

    Each request is answered, and after the first failures the dead ones get
    hardly any connection.
    """
    for name in ('a', 'b', 'c', 'd'):
        if name in ('a', 'c'):
            gone = harness.ScriptedUpstream(b'')
            gone.close()
            run.upstream(name, 'desk', gone.address)
        else:
            run.scripted(name, 'desk', BOOKED)
    for number in range(30):
        assert run.ask('/desk/bookings', {'order': number}).status == 201
    tries = 30 + sum(view.state == 'suspect' for view in _views(run))
    assert tries == 32
    assert run.entry_app._retry.budget.report()['tokens'] > 5
