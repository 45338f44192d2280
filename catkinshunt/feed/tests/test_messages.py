import json

from catkinshunt import errors
from catkinshunt import feed
from catkinshunt.feed import _messages

import pytest

ROUTE = '{"host": "depot%d.example", "path": "/quotes/", "service": "desk"}'
LARGE = ('[' + ','.join(ROUTE % n for n in range(1700)) + ']').encode()


def tell(value):
    page = feed.Page((feed.Item('rules/all', value, 9),), 9)
    return _messages.dump(feed.RelayedPage(page, 0.5, 0.1))


@pytest.mark.parametrize('value', [b'', b'{}', b'\0' * 5000, LARGE, None])
def test_a_page_is_read_as_it_was_told(value):
    (item,) = feed.load(tell(value), 'peer').page.items
    assert item == feed.Item('rules/all', value, 9)


def test_a_large_configuration_does_not_fill_the_link_of_who_tells_it():
    """Told as it is, it takes longer than the time between two edits."""
    assert len(tell(LARGE)) < len(LARGE) / 4


def test_a_value_without_end_is_refused(monkeypatch):
    """A damaged value could otherwise take all memory."""
    data = tell(b'\0' * 5000)
    monkeypatch.setattr(_messages, 'MOST_VALUE_BYTES', 4000)
    with pytest.raises(errors.StoreUnavailableError):
        feed.load(data, 'peer')


def test_a_value_that_is_cut_off_is_refused():
    """Half a configuration must not be taken for a whole one."""
    document = json.loads(tell(LARGE))
    document['items'][0][2] = document['items'][0][2][:400]
    with pytest.raises(errors.StoreUnavailableError):
        feed.load(json.dumps(document).encode(), 'peer')
