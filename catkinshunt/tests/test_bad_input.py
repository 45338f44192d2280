"""Bad input at the ports of entries and sidecars."""

import json
import re
import socket

import pytest

from catkinshunt import httpio
from catkinshunt.tests import deployments

#: Longest head that the server takes. A longer one is refused at its first
#: byte too many; more bytes still unread would reset the connection, and
#: the refusal could be lost on the way.
HEAD_BYTES = 262144
BODY = b'{"order": "%b"}'


@pytest.fixture(scope='module')
def deployment():
    with deployments.Deployment() as running:
        yield running


@pytest.fixture
def front(deployment):
    return deployment.entries[0]


def connect(served):
    address = served.address
    sock = socket.create_connection((address.host, address.port))
    sock.settimeout(deployments.WAIT_S)
    return sock


def exchange(served, data, cut=False):
    """Send raw bytes; return all that comes until the server closes.

    Args:
        served: an entry or a sidecar.
        data: the bytes.
        cut: close the sending side, so that no more can come.
    """
    with connect(served) as sock:
        try:
            sock.sendall(data)
            if cut:
                sock.shutdown(socket.SHUT_WR)
            return b''.join(iter(lambda: sock.recv(65536), b''))
        except (BrokenPipeError, ConnectionResetError):
            return b''


def raw_booking(order, head=b'', length=None):
    body = BODY % order
    length = len(body) if length is None else length
    return (
        b'POST /order-desk/bookings HTTP/1.1\r\nHost: e\r\n'
        b'Content-Type: application/json\r\n%b'
        b'Content-Length: %b\r\n\r\n%b' % (head, str(length).encode(), body)
    )


def statuses(reply):
    return [int(found) for found in re.findall(rb'HTTP/1\.. (\d+)', reply)]


def assert_serves(front):
    answer = deployments.ask(front, 'GET', '/order-desk/stock')
    assert answer.status == 200


@pytest.mark.parametrize(
    'data',
    [
        b'POST /order-desk/bookings HTT',
        raw_booking(b'cut', length=1000),
        raw_booking(b'cut')[:-3],
        b'\r\n' * 1000,
    ],
)
def test_request_cut_short_is_not_run(deployment, front, data):
    """A client dies, or its link does, with half a request sent."""
    assert statuses(exchange(front, data, cut=True)) in ([], [400])
    assert deployment.runs('cut') == 0
    assert_serves(front)


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (raw_booking(b'cut', length=-5), 400),
        (raw_booking(b'cut', length='ten'), 400),
        (raw_booking(b'cut', head=b'Content-Length: 1\r\n'), 400),
        (raw_booking(b'cut', head=b'Transfer-Encoding: magic\r\n'), 501),
        (
            raw_booking(b'cut', head=b'Transfer-Encoding: chunked\r\n')
            + b'\r\n',
            400,
        ),
        (b'GET / HTTP/1.1\r\nX: '.ljust(HEAD_BYTES + 1, b'x'), 431),
        (raw_booking(b'cut', length=64 * 1024 * 1024), 413),
        (raw_booking(b'cut', head=b'Bad Header: a\r\n'), 400),
        (b'\x16\x03\x01\x02\x00\x01\r\n\r\n', 400),
    ],
)
def test_wrong_http_is_refused_and_not_run(deployment, front, data, status):
    """A client or a proxy before the entry sends wrong requests.

    A booking whose length is wrong could be run in part, and what is left
    of it be taken for another caller's request.
    """
    assert statuses(exchange(front, data)) == [status]
    assert deployment.runs('cut') == 0
    assert_serves(front)


def test_slow_caller_does_not_hold_up_others(deployment, front):
    """Some callers send the start of a request and then nothing."""
    slow = [connect(front) for _ in range(100)]
    try:
        for sock in slow:
            sock.sendall(raw_booking(b'slow')[:-3])
        assert_serves(front)
        slow[0].sendall(raw_booking(b'slow')[-3:])
        assert statuses(slow[0].recv(65536)) == [201]
    finally:
        for sock in slow:
            sock.close()
    assert deployment.runs('slow') == 1


def test_pipelined_requests_get_their_own_answers_in_order(front):
    """A caller sends many requests before it reads the first answer."""
    orders = [b'p%d' % number for number in range(20)]
    with connect(front) as sock:
        sock.sendall(b''.join(map(raw_booking, orders)))
        got = b''
        while got.count(b'"booked"') < len(orders):
            got += sock.recv(65536)
    assert re.findall(rb'"booked": "(\w+)"', got) == orders


@pytest.mark.parametrize(
    ('headers', 'body'),
    [
        ({'Catkinshunt-Deadline-Ms': 'soon'}, b'{}'),
        ({'Catkinshunt-Deadline-Ms': '-1'}, b'{}'),
        ({'Catkinshunt-Deadline-Ms': '\u00b2'}, b'{}'),
        ({'Catkinshunt-Deadline-Ms': '9' * 400}, b'{}'),
        ({'Catkinshunt-Deadline-Ms': '9' * 5000}, b'{}'),
    ],
)
def test_wrong_header_is_refused_with_its_name(front, headers, body):
    answer = deployments.ask(
        front, 'POST', '/order-desk/bookings', body, headers
    )
    assert (answer.status, answer.ran) == (400, 'no')
    assert 'Catkinshunt-Deadline-Ms' in answer.value['error']['message']


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{',
        b'\xff\xfe',
        b'{"model": 7}',
        b'{"model": ["m"]}',
        b'{"model": "m", "prompt": 5}',
        b'{"model": "m\\r\\nX: y"}',
        b'{"model": "m", "resume_from": -1}',
        b'{"model": ' + b'[' * 100000,
    ],
)
def test_wrong_model_request_is_refused(front, body):
    answer = deployments.ask(front, 'POST', '/order-desk/generate', body)
    assert (answer.status, answer.ran) == (400, 'no')


def test_model_named_in_greek_gets_an_answer(front):
    """Member shops name their models in their own language."""
    body = json.dumps({'model': '\u03c0\u03c1\u03ad\u03c3\u03b1'}).encode()
    answer = deployments.ask(front, 'POST', '/order-desk/generate', body)
    # The plain service knows no such path; its own answer comes through.
    assert answer.status == 404


@pytest.mark.parametrize(
    'path',
    [
        '/order-desk/%0d%0aInjected:%20yes',
        '/order-desk/stock%20HTTP/1.1%0d%0aHost:%20x%0d%0a%0d%0a',
        '/order-desk/%00',
        '/order-desk/..%2f..%2forders',
        '/order-desk/%ff%fe',
    ],
)
def test_path_cannot_inject_headers_or_requests(deployment, front, path):
    """A caller hides line ends in a path, which the server decodes.

    Passed on as they are, they would end the request line towards the
    sidecar, and the rest would be read as a header or another request.
    """
    reply = httpio.exchange(front.address, 'GET', path)
    assert reply.status == 404
    assert 'Injected' not in reply.headers
    assert_serves(front)


@pytest.mark.parametrize(
    ('query', 'status'), [(b'%ff%0d%0a"<^`|', 200), (b'\xff', 400)]
)
def test_query_is_passed_on_or_refused(front, query, status):
    reply = exchange(
        front, b'GET /order-desk/stock?q=%b HTTP/1.0\r\n\r\n' % query
    )
    assert statuses(reply) == [status]


def test_folded_header_cannot_inject_into_the_answer(front):
    head = (
        b'Connection: close\r\nCatkinshunt-Request-Id: a\r\n Injected: yes\r\n'
    )
    reply = exchange(front, raw_booking(b'folded', head=head))
    assert b'\nInjected' not in reply


@pytest.mark.parametrize(
    'path',
    ['/weights/m/1/manifest', '/upstream/stock', '/status', '/metrics', '/'],
)
def test_caller_reaches_no_control_path_at_the_entry(front, path):
    answer = deployments.ask(
        front, 'GET', path, headers={'Catkinshunt-Key': 'guessed-by-a-caller'}
    )
    assert answer.status in (404, 503)
    assert answer.code == 'refused'


@pytest.mark.parametrize('key', [None, '', 'wrong', deployments.KEY + 'x'])
def test_sidecar_takes_no_request_without_the_key(deployment, key):
    """Somebody in the network calls a sidecar past the entries."""
    headers = {'Content-Type': 'application/json'}
    if key is not None:
        headers['Catkinshunt-Key'] = key
    answer = deployments.ask(
        deployment.sidecars[0],
        'POST',
        '/upstream/bookings',
        BODY % b'past',
        headers,
    )
    assert (answer.status, answer.ran) == (400, 'no')
    assert deployment.runs('past') == 0


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('Catkinshunt-Not-After', 'soon'),
        ('Catkinshunt-Not-After', 'nan'),
        ('Catkinshunt-Not-After', 'inf'),
        ('Catkinshunt-Not-After', ''),
        ('Catkinshunt-Deadline-Ms', 'soon'),
        ('Catkinshunt-Deadline-Ms', '9' * 5000),
        ('Catkinshunt-Weight', 'heavy'),
        ('Catkinshunt-Weight', 'nan'),
        ('Catkinshunt-Weight', '-1'),
        ('Catkinshunt-Priority', 'high'),
    ],
)
def test_sidecar_refuses_wrong_headers(deployment, name, value):
    """An entry of another build sends what this one cannot read."""
    headers = {
        'Content-Type': 'application/json',
        'Catkinshunt-Key': deployments.KEY,
        'Catkinshunt-Attempt-Id': f'attempt-{name}-{value[:8]}',
        'Catkinshunt-Not-After': '9999999999',
        'Catkinshunt-Deadline-Ms': '5000',
        'Catkinshunt-Account': 'acme',
        'Catkinshunt-Weight': '1.0',
        'Catkinshunt-Priority': '0',
    }
    headers[name] = value
    answer = deployments.ask(
        deployment.sidecars[0],
        'POST',
        '/upstream/bookings',
        BODY % b'wrong',
        headers,
    )
    assert (answer.status, answer.ran) == (400, 'no')
    assert deployment.runs('wrong') == 0
