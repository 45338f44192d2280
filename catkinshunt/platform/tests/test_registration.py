import asyncio
import contextlib

from catkinshunt import catalog as catalogs
from catkinshunt import platform
from catkinshunt.platform import _entry
from catkinshunt.platform import _registration
from catkinshunt.platform.tests import fakes

KEY = 'catkinshunt/entries/edge-1'


@contextlib.asynccontextmanager
async def registered(monkeypatch):
    """Run the registration of an entry with short periods."""
    monkeypatch.setattr(_registration, 'RENEW_PERIOD_S', 0.02)
    monkeypatch.setattr(_registration, 'RETRY_PAUSE_S', 0.02)
    store = fakes.FakeStore()
    live_entries = catalogs.LiveEntries()
    registration = platform.Registration(store, live_entries, 'edge-1')
    task = asyncio.ensure_future(registration.run())
    try:
        await fakes.wait_until(lambda: KEY in store.items)
        live_entries.put('edge-1')
        yield store, live_entries, registration
    finally:
        task.cancel()


def test_lease_is_renewed_without_further_writes(monkeypatch):
    async def main():
        async with registered(monkeypatch) as (store, _, _):
            await fakes.wait_until(lambda: store.calls.count('renew') > 3)
            return store.calls.count('write')

    assert asyncio.run(main()) == 1


def test_entry_registers_again_after_its_lease_ended(monkeypatch):
    """The lease expires during a long outage of the store.

    If the entry stayed unlisted, the others would divide the retry budget
    among too few entries while it runs.
    """

    async def main():
        async with registered(monkeypatch) as (store, _, _):
            store.is_down = True
            store.expire(*store.leases)
            store.is_down = False
            await fakes.wait_until(lambda: KEY in store.items)

    asyncio.run(main())


def test_entry_registers_again_after_its_key_vanished(monkeypatch):
    """A delayed write binds the key to an older lease that is not renewed.

    The key is deleted with that lease, although the newer one is renewed.
    """

    async def main():
        async with registered(monkeypatch) as (store, live_entries, _):
            store.delete(KEY)
            live_entries.drop('edge-1')
            await fakes.wait_until(lambda: KEY in store.items)

    asyncio.run(main())


def test_stopped_entry_is_not_listed(monkeypatch):
    async def main():
        async with registered(monkeypatch) as (store, _, registration):
            await registration.deregister()
            return KEY in store.items

    assert not asyncio.run(main())


def test_stopping_works_without_the_store(monkeypatch):
    async def main():
        async with registered(monkeypatch) as (store, _, registration):
            store.is_down = True
            await registration.deregister()

    asyncio.run(main())


def test_unresponsive_store_does_not_delay_the_stop(monkeypatch):
    """The store does not answer while a process stops.

    When the lease was revoked after the last request, the call outlasted the
    grace period, and the process was killed before its last log lines were
    written.
    """

    class Server:
        async def stop(self, grace_s):
            await asyncio.sleep(grace_s)

    async def main():
        async with registered(monkeypatch) as (store, _, registration):
            monkeypatch.setattr(
                store, 'revoke_lease', lambda lease: asyncio.sleep(60)
            )
            async with asyncio.timeout(0.5):
                await _entry.stop_serving(Server(), registration, 0.05)

    asyncio.run(main())


def test_lease_is_revoked_while_the_last_requests_are_answered(monkeypatch):
    class Server:
        async def stop(self, grace_s):
            await asyncio.sleep(grace_s)

    async def main():
        async with registered(monkeypatch) as (store, _, registration):
            await _entry.stop_serving(Server(), registration, 0.05)
            return KEY in store.items

    assert not asyncio.run(main())
