"""Tests of the client of the key-value service."""

import pytest

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


def test_lost_answer_is_told_as_unknown(store, service):
    """The service stores the value and its answer is lost on the way.

    A writer told "failed" would write again over somebody else's edit.
    """
    service.faults = key_value.Faults(lose_answers=1)
    with pytest.raises(errors.StoreUnknownError):
        store.put('rules', b'a', 0)
    assert store.get('rules').value == b'a'


def test_outage_is_told_as_not_done(store, service):
    """The service is down, and the operator's edit must not seem accepted."""
    service.faults = key_value.Faults(down=True)
    with pytest.raises(errors.StoreUnavailableError):
        store.put('rules', b'a', 0)


def test_key_of_a_lapsed_lease_is_gone(store):
    lease = store.grant_lease(0.000001)
    with pytest.raises(errors.ConflictError):
        store.renew_lease(lease)


@pytest.mark.parametrize('status', [200, 302, 404])
def test_an_answer_of_another_server_is_an_error(status):
    """Another server answers at the address, for instance a proxy.

    Reading its reply as the service's ended the thread that watched, and
    new revisions came no more.
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
