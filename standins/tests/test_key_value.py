import concurrent.futures
import json
import time

import pytest

from catkinshunt import httpio
from standins import key_value

KEY = '/kv/rules'


@pytest.fixture
def call():
    """Yield a function that makes a call to the service."""
    with httpio.HttpServer(key_value.KeyValueService().app) as server:
        address = httpio.Address('127.0.0.1', server.port)

        def call(method, path, body=None):
            if isinstance(body, dict):
                body = json.dumps(body).encode()
            return httpio.exchange(address, method, path, body, timeout_s=5)

        yield call


def test_a_service_that_went_back_has_lost_what_it_acknowledged(call):
    """Only a service that truly forgets shows what its readers remember."""
    assert call('PUT', f'{KEY}?expected=0', b'a').headers['Era'] == '1'
    time.sleep(0.1)
    call('PUT', f'{KEY}?expected=1', b'b')
    call('PUT', '/kv/other?expected=0', b'c')
    assert call('POST', '/faults', {'back_s': 0.05}).status == 200
    reply = call('GET', KEY)
    assert (reply.body, reply.headers['Revision']) == (b'a', '1')
    assert reply.headers['Era'] == '2'
    assert call('GET', '/kv/other').status == 404
    # Revisions are given out again; one that it does not have is gone.
    assert call('GET', f'{KEY}?after=2&timeout_s=1').status == 410
    reply = call('PUT', f'{KEY}?expected=1', b'd')
    assert reply.headers['Revision'] == '2'
    assert call('GET', f'{KEY}?after=2&timeout_s=0.01').status == 204


def test_leases_are_lost_and_their_numbers_given_out_again(call):
    first = call('POST', '/leases', {'ttl_s': 60}).body
    time.sleep(0.1)
    second = call('POST', '/leases', {'ttl_s': 60}).body
    call('POST', '/faults', {'back_s': 0.05})
    renew = '/leases/{}/renew'.format
    assert call('POST', renew(json.loads(first)['lease'])).status == 200
    assert call('POST', renew(json.loads(second)['lease'])).status == 409
    assert call('POST', '/leases', {'ttl_s': 60}).body == second


def test_a_watch_that_waits_ends_as_the_service_goes_back(call):
    """It would wait for a revision that is given out a second time."""
    call('PUT', f'{KEY}?expected=0', b'a')
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(call, 'GET', f'{KEY}?after=1&timeout_s=4')
        time.sleep(0.2)
        call('POST', '/faults', {'back_s': 60})
        reply = waiting.result(timeout=5)
    assert (reply.status, reply.headers['Era']) == (503, '2')
    assert call('GET', KEY).status == 404


def test_the_era_rises_though_nothing_was_lost(call):
    call('PUT', f'{KEY}?expected=0', b'a')
    time.sleep(0.1)
    call('POST', '/faults', {'back_s': 0.05})
    call('POST', '/faults', {'back_s': 0.05})
    reply = call('GET', KEY)
    assert (reply.body, reply.headers['Era']) == (b'a', '3')
