import asyncio
import json
import urllib.parse

from catkinshunt import errors
from catkinshunt import http1
from catkinshunt import platform
from catkinshunt import watch_relay

import pytest

ITEM = {'key': 'op/a', 'data': '', 'revision': 3}
PAGE = {'entries': [ITEM], 'events': [], 'at': 5, 'has_more': False}


class ScriptedStore:
    """Answers calls of one client with prepared documents, in order.

    Attributes:
        answers: (era, status, document) of each answer; the era is the text
            of the header, None for no header.
        calls: paths of the calls, with their query.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def answer(self, req):
        self.calls.append(req.target)
        era, status, document = self.answers.pop(0)
        items = [] if era is None else [('Store-Era', str(era))]
        return http1.Reply(status, json.dumps(document).encode(), tuple(items))


def run(store, main):
    """Run `main` with a client of `store`."""

    async def inside():
        clock = asyncio.get_running_loop().time
        listener = http1.Listener(http1.make_session(store.answer), clock)
        await listener.start('127.0.0.1', 0)
        address = ('127.0.0.1', listener.port)
        try:
            return await main(platform.StoreClient(address, clock))
        finally:
            listener.close()
            for task in list(listener.tasks):
                task.cancel()

    return asyncio.run(inside())


def query(target):
    return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))


@pytest.mark.parametrize(('text', 'era'), [(None, 0), ('0', 0), ('7', 7)])
def test_revisions_are_of_the_era_in_the_header(text, era):
    page = run(
        ScriptedStore((text, 200, PAGE)),
        lambda client: client.read_prefix('op/'),
    )
    assert page.revision == platform.Revision(era, 5)
    assert page.items[0].revision == platform.Revision(era, 3)


@pytest.mark.parametrize('text', ['', 'x', '-1', '1.5', '\u0661'])
def test_invalid_era_is_a_failed_call(text):
    text = text.encode().decode('latin-1')

    async def main(client):
        with pytest.raises(errors.StoreUnavailableError):
            await client.read_prefix('op/')

    run(ScriptedStore((text, 200, PAGE)), main)


def test_pages_of_two_eras_are_not_joined():
    """Items of before the change would be taken for present ones."""
    old = {**PAGE, 'entries': [{**ITEM, 'key': 'op/old'}], 'has_more': True}
    store = ScriptedStore((1, 200, old), (2, 200, PAGE), (2, 200, PAGE))
    page = run(store, lambda client: client.read_prefix('op/'))
    assert [item.key for item in page.items] == ['op/a']
    assert page.revision == platform.Revision(2, 5)
    assert [query(call).get('after') for call in store.calls] == [
        None,
        'op/old',
        None,
    ]


def test_read_ends_if_the_era_changes_again_and_again():
    more = {**PAGE, 'has_more': True}
    store = ScriptedStore(*((era, 200, more) for era in range(1, 20)))

    async def main(client):
        with pytest.raises(errors.StoreUnavailableError):
            await client.read_prefix('op/')

    run(store, main)
    assert len(store.calls) == 6


@pytest.mark.parametrize('status', [200, 410])
def test_watch_does_not_continue_in_a_newer_era(status):
    """The counter may have passed the old revision again, without a 410."""

    async def main(client):
        with pytest.raises(watch_relay.EraChangedError) as caught:
            await client.watch('', platform.Revision(1, 4), 0.1)
        return caught.value.era

    assert run(ScriptedStore((2, status, PAGE)), main) == 2


def test_history_loss_in_the_same_era_is_no_change_of_it():
    async def main(client):
        with pytest.raises(watch_relay.HistoryGoneError) as caught:
            await client.watch('', platform.Revision(1, 4), 0.1)
        return caught.value

    error = run(ScriptedStore((1, 410, PAGE)), main)
    assert not isinstance(error, watch_relay.EraChangedError)


def test_answer_of_an_older_era_is_refused():
    """It was delayed beyond the change, and holds no more."""

    async def main(client):
        await client.read_prefix('op/')
        for call in (
            client.read_prefix('op/'),
            client.watch('', platform.Revision(2, 4), 0.1),
            client.grant_lease(5.0),
        ):
            with pytest.raises(errors.StoreUnavailableError):
                await call
        return client.eras.era

    late = (1, 200, {**PAGE, 'lease': 9})
    store = ScriptedStore((2, 200, PAGE), late, late, late)
    assert run(store, main) == 2


def test_rejection_without_era_changes_none():
    """It may be of something between this process and the store."""

    async def main(client):
        await client.read_prefix('op/')
        with pytest.raises(errors.StoreUnavailableError):
            await client.read_prefix('op/')
        await client.read_prefix('op/')
        return client.eras.changes

    answers = [(2, 200, PAGE), (None, 503, {}), (2, 200, PAGE)]
    assert run(ScriptedStore(*answers), main) == 0


@pytest.mark.parametrize('call', ['renew', 'revoke', 'write'])
def test_lease_of_an_older_era_is_not_used(call):
    """Its number may be that of another process's lease by now."""

    async def main(client):
        lease = await client.grant_lease(5.0)
        await client.read_prefix('op/')
        with pytest.raises(platform.LeaseNotFoundError):
            if call == 'renew':
                await client.renew_lease(lease)
            elif call == 'revoke':
                await client.revoke_lease(lease)
            else:
                await client.write('key', b'', lease)

    store = ScriptedStore((1, 200, {'lease': 4}), (2, 200, PAGE))
    run(store, main)
    assert len(store.calls) == 2


@pytest.mark.parametrize('call', ['renew', 'write'])
def test_success_in_a_newer_era_is_that_of_another_lease(call):
    async def main(client):
        lease = await client.grant_lease(5.0)
        with pytest.raises(platform.LeaseNotFoundError):
            if call == 'renew':
                await client.renew_lease(lease)
            else:
                await client.write('key', b'', lease)

    run(ScriptedStore((1, 200, {'lease': 4}), (2, 200, {})), main)
