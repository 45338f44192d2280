"""Tests of one attempt at a request with one sidecar."""

import pytest

from catkinshunt.entry import _relay
from catkinshunt.entry import _request
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import rules

_KEY = headers.EXCHANGE_ID.upper().replace('-', '_')
ROUTE = rules.Route(service='order-desk')


def request(number):
    return _request.CallerRequest(
        request_id=f'r-{number}',
        service='order-desk',
        path='/stock',
        method='GET',
        account='press-1',
        model='',
        idempotency_key='',
        deadline=10.0,
        body=b'',
        content_type='',
    )


@pytest.mark.parametrize('body', [[b'{"stock": 12}'], []])
def test_next_request_on_a_reused_connection(body):
    """A body of known length was read and its connection pooled.

    Unless the response is closed, http.client takes it for unfinished and
    rejects the next request on the connection before sending it. The caller
    then gets an unknown outcome.
    """
    clients = set()

    def app(environ, start_response):
        clients.add(environ['REMOTE_PORT'])
        length = ('Content-Length', str(sum(map(len, body))))
        exchange_id = environ['HTTP_' + _KEY]
        echo = (headers.EXCHANGE_ID, exchange_id)
        return httpio.Response(200, body, (length, echo)).send(start_response)

    with httpio.HttpServer(app, threads=1) as server:
        pool = httpio.ConnectionPool()
        relay = _relay.Relay(pool, 'key')
        address = httpio.Address(server.host, server.port)
        for number in range(3):
            open_resp = relay.open(request(number), ROUTE, address, now=0.0)
            assert b''.join(relay.read(open_resp)) == b''.join(body)
        pool.close()
    assert len(clients) == 1
