"""Tests of the client of another process that relays watches."""

import asyncio
import urllib.parse

import pytest

from catkinshunt import errors
from catkinshunt.http1.tests import repeating
from catkinshunt import watch_relay
from catkinshunt.watch_relay import _messages

AFTER = watch_relay.Revision(1, 4)


def ask(answer, main):
    """Return the result of `main`, called with a `PeerWatchSource`."""

    async def inside():
        clock = asyncio.get_running_loop().time
        async with repeating.RepeatingServer(answer).running() as address:
            peer = watch_relay.PeerWatchSource(*address, clock, clock)
            return await asyncio.wait_for(main(peer), 20)

    return asyncio.run(inside())


def reply(number, *items):
    """Return an answer with a page of (key, number of its revision)."""
    found = tuple(
        watch_relay.Item(key, b'x', watch_relay.Revision(1, revision))
        for key, revision in items
    )
    page = watch_relay.Page(found, watch_relay.Revision(1, number))
    return 200, _messages.dump(_messages.RelayedPage(page, 0.0, 0.0))


def prefix_of(target):
    return dict(urllib.parse.parse_qsl(target.partition('?')[2]))['prefix']


def test_second_answer_to_a_read_is_not_that_to_the_next_one():
    """All items of the other prefix counted as deleted."""

    def answer(method, target):
        return reply(9, (prefix_of(target) + 'x', 3))

    async def main(peer):
        pages = [await peer.read_prefix(p) for p in ('op/', 'servers/')]
        return [page.items[0].key for page in pages]

    assert ask(answer, main) == ['op/x', 'servers/x']


def test_second_answer_to_a_watch_does_not_skip_changes():
    """An empty answer about another prefix moved the watch past changes."""

    def answer(method, target):
        return reply(9, *([('b/x', 8)] if prefix_of(target) == 'b/' else []))

    async def main(peer):
        await peer.watch('a/', AFTER, 0.1)
        page = await peer.watch('b/', AFTER, 0.1)
        return [item.key for item in page.items]

    assert ask(answer, main) == ['b/x']


@pytest.mark.parametrize(
    'answer', [reply(9, ('a/x', 8)), reply(9, ('b/x', 4)), reply(3)]
)
def test_answer_to_another_call_is_no_change(answer):
    """Older changes would replace newer ones, or the watch would go back."""

    async def main(peer):
        with pytest.raises(errors.StoreUnavailableError):
            await peer.watch('b/', AFTER, 0.1)

    ask(lambda method, target: answer, main)
