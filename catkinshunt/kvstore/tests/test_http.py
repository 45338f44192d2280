"""Tests of the client for the key-value service."""

import pytest

from catkinshunt.entry.tests import harness
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import kvstore
from standins import key_value


@pytest.fixture
def service():
    return key_value.KeyValueService()


@pytest.fixture
def store(service):
    with httpio.HttpServer(service.app) as server:
        address = httpio.Address('127.0.0.1', server.port)
        yield kvstore.HttpKeyValueStore(address)


def test_compare_and_swap(store):
    first = store.put('rules', b'a', 0)
    assert store.get('rules') == kvstore.Entry(b'a', first)
    with pytest.raises(errors.ConflictError):
        store.put('rules', b'b', 0)
    second = store.put('rules', b'b', first)
    assert second > first
    assert store.get('absent') is None


def test_watch_returns_newer_value_or_none(store):
    revision = store.put('rules', b'a', 0)
    assert store.watch('rules', 0, 1).value == b'a'
    assert store.watch('rules', revision, 0.01) is None


def test_lost_reply_is_reported_as_unknown(store, service):
    """The service stores the value, but its reply is lost.

    If this were reported as a failure, the writer would write again and
    could overwrite another edit.
    """
    service.faults = key_value.Faults(lose_answers=1)
    with pytest.raises(errors.StoreUnknownError):
        store.put('rules', b'a', 0)
    assert store.get('rules').value == b'a'


def test_outage_is_reported_as_unavailable(store, service):
    """The service is down; an edit must not be reported as accepted."""
    service.faults = key_value.Faults(down=True)
    with pytest.raises(errors.StoreUnavailableError):
        store.put('rules', b'a', 0)


def test_expired_lease_cannot_be_renewed(store):
    lease = store.grant_lease(0.000001)
    with pytest.raises(errors.ConflictError):
        store.renew_lease(lease)


@pytest.mark.parametrize('status', [200, 302, 404])
def test_a_reply_of_another_server_is_an_error(status):
    """Another server replies at the address, such as a proxy.

    Its reply, taken for one of the service, ended the thread of the watch,
    and no further revisions were received.
    """

    def app(environ, start_response):
        return httpio.Response.of_json(status, {}).send(start_response)

    with httpio.HttpServer(app) as server:
        address = httpio.Address('127.0.0.1', server.port)
        store = kvstore.HttpKeyValueStore(address)
        with pytest.raises(errors.StoreError):
            store.watch('rules', 0, 1)
        with pytest.raises((errors.StoreUnknownError, errors.ConflictError)):
            store.put('rules', b'a', 0)


@pytest.mark.parametrize('text', [b'', b'{"rules": [', b'{"rules": []}'])
def test_value_that_may_be_cut_off_is_not_read(text):
    """The begin of a document would be taken for the document."""
    reply = b'HTTP/1.0 200 OK\r\nRevision: 7\r\n\r\n' + text
    service = harness.ScriptedUpstream(reply)
    store = kvstore.HttpKeyValueStore(service.address)
    with pytest.raises(errors.StoreError):
        store.get('rules')
    with pytest.raises(errors.StoreError):
        store.watch('rules', 0, 0.1)
    service.close()
