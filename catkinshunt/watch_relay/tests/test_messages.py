import json

from catkinshunt import errors
from catkinshunt import watch_relay
from catkinshunt.watch_relay import _messages

import pytest

ROUTE = '{"host": "depot%d.example", "path": "/quotes/", "service": "desk"}'
LARGE = ('[' + ','.join(ROUTE % n for n in range(1700)) + ']').encode()


def revision(number, era=1):
    return watch_relay.Revision(era, number)


def encode_page(value):
    item = watch_relay.Item('rules/all', value, revision(9))
    page = watch_relay.Page((item,), revision(9))
    return _messages.dump(watch_relay.RelayedPage(page, 0.5, 0.1))


@pytest.mark.parametrize('value', [b'', b'{}', b'\0' * 5000, LARGE, None])
def test_a_page_survives_encoding_and_decoding(value):
    (item,) = watch_relay.load(encode_page(value), 'peer').page.items
    assert item == watch_relay.Item('rules/all', value, revision(9))


def test_a_large_configuration_is_compressed():
    """Uncompressed, it fills the sender's link beyond the next edit."""
    assert len(encode_page(LARGE)) < len(LARGE) / 4


def test_a_value_above_the_size_limit_is_rejected(monkeypatch):
    """A corrupt value could otherwise exhaust the memory."""
    data = encode_page(b'\0' * 5000)
    monkeypatch.setattr(_messages, 'MAX_VALUE_BYTES', 4000)
    with pytest.raises(errors.StoreUnavailableError):
        watch_relay.load(data, 'peer')


def test_a_truncated_value_is_rejected():
    """Part of a configuration must not be taken for a complete one."""
    document = json.loads(encode_page(LARGE))
    document['items'][0][2] = document['items'][0][2][:400]
    with pytest.raises(errors.StoreUnavailableError):
        watch_relay.load(json.dumps(document).encode(), 'peer')


def test_a_page_of_an_entry_of_an_older_release_is_of_era_0():
    """Entries of both releases run beside each other while one replaces it."""
    document = json.loads(encode_page(b'{}'))
    del document['era']
    page = watch_relay.load(json.dumps(document).encode(), 'peer').page
    assert page.revision == revision(9, era=0)
    assert page.items[0].revision == revision(9, era=0)


def test_an_entry_of_an_older_release_can_read_a_page():
    document = json.loads(encode_page(b'{}'))
    assert document['revision'] == 9
    assert document['items'][0][:2] == ['rules/all', 9]


@pytest.mark.parametrize('era', ['1', None, 1.5, True])
def test_a_page_with_an_invalid_era_is_rejected(era):
    document = {**json.loads(encode_page(b'{}')), 'era': era}
    with pytest.raises(errors.StoreUnavailableError):
        watch_relay.load(json.dumps(document).encode(), 'peer')
