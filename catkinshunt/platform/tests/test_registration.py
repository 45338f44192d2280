import asyncio
import contextlib

from catkinshunt import catalog as catalogs
from catkinshunt import platform
from catkinshunt.platform import _entry
from catkinshunt.platform import _registration
from catkinshunt.platform.tests import fakes

KEY = 'catkinshunt/entries/edge-1'


@contextlib.asynccontextmanager
async def listed(monkeypatch):
    """An entry that keeps itself listed, and looks often."""
    monkeypatch.setattr(_registration, 'RENEW_PERIOD_S', 0.02)
    monkeypatch.setattr(_registration, 'RETRY_PAUSE_S', 0.02)
    store = fakes.FakeStore()
    live_entries = catalogs.LiveEntries()
    member = platform.Registration(store, live_entries, 'edge-1')
    task = asyncio.ensure_future(member.run())
    try:
        await fakes.until(lambda: KEY in store.items)
        live_entries.put('edge-1')
        yield store, live_entries, member
    finally:
        task.cancel()


def test_the_lease_is_renewed_without_further_writes(monkeypatch):
    async def main():
        async with listed(monkeypatch) as (store, _, _):
            await fakes.until(lambda: store.calls.count('renew') > 3)
            return store.calls.count('write')

    assert asyncio.run(main()) == 1


def test_an_entry_whose_lease_ended_is_listed_again(monkeypatch):
    """The store lost the lease in an outage that was longer than it.

    The others would share the retries among too few for as long as the
    entry lives.
    """

    async def main():
        async with listed(monkeypatch) as (store, _, _):
            store.down = True
            store.expire(*store.leases)
            store.down = False
            await fakes.until(lambda: KEY in store.items)

    asyncio.run(main())


def test_an_entry_whose_key_vanished_is_listed_again(monkeypatch):
    """A write arrives late and binds the key to a lease that nobody renews.

    The key vanishes with that lease, while the newer one is renewed in
    vain.
    """

    async def main():
        async with listed(monkeypatch) as (store, live_entries, _):
            store.delete(KEY)
            live_entries.drop('edge-1')
            await fakes.until(lambda: KEY in store.items)

    asyncio.run(main())


def test_an_entry_that_stops_is_listed_no_longer(monkeypatch):
    async def main():
        async with listed(monkeypatch) as (store, _, member):
            await member.deregister()
            return KEY in store.items

    assert not asyncio.run(main())


def test_stopping_goes_on_without_the_store(monkeypatch):
    async def main():
        async with listed(monkeypatch) as (store, _, member):
            store.down = True
            await member.deregister()

    asyncio.run(main())


def test_a_silent_store_does_not_hold_up_the_stop(monkeypatch):
    """The store gives no answer while a process stops.

    Waited for when all requests had ended, the call lasted beyond the time
    to stop, and the process was killed with its last log lines unwritten.
    """

    class Server:
        async def stop(self, grace_s):
            await asyncio.sleep(grace_s)

    async def main():
        async with listed(monkeypatch) as (store, _, member):
            monkeypatch.setattr(
                store, 'revoke_lease', lambda lease: asyncio.sleep(60)
            )
            async with asyncio.timeout(0.5):
                await _entry.stop_serving(Server(), member, 0.05)

    asyncio.run(main())


def test_the_lease_ends_while_the_last_requests_are_answered(monkeypatch):
    class Server:
        async def stop(self, grace_s):
            await asyncio.sleep(grace_s)

    async def main():
        async with listed(monkeypatch) as (store, _, member):
            await _entry.stop_serving(Server(), member, 0.05)
            return KEY in store.items

    assert not asyncio.run(main())
