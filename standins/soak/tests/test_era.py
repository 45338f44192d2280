import asyncio
import base64
import json
import random

from catkinshunt import http1
from standins.soak import _era
from standins.soak import _platform
from standins.soak import _records


async def call(store, method, target, document=None):
    """Return status, document and era of the answer to a call."""
    body = json.dumps(document).encode() if document else b''
    req = http1.Request(method, target, http1.Headers([]), body, 0.0, True)
    reply = await store.answer(req)
    items = dict(reply.items)
    return reply.status, json.loads(reply.body), int(items['Store-Era'])


def watch(store, after, wait_ms=50):
    target = f'/-/kv-watch?path_prefix=&after={after}&wait_ms={wait_ms}'
    return call(store, 'GET', target)


def go_back(store, now=10.0):
    store.go_away()
    store.go_back(1.0, now)
    store.come_back()


def test_a_store_that_went_back_has_lost_what_it_acknowledged():
    """Entries would never be tried with a leave that is gone."""

    async def main():
        store = _era.Store()
        store.put('servers/p0', {'state': 'ready'})
        store.copy(8.0)
        store.put('servers/p0', {'state': 'draining'})
        store.put('servers/p1', {'state': 'ready'})
        store.copy(9.5)
        assert store.revision == 4
        go_back(store)
        assert store.document('servers/p0') == {'state': 'ready'}
        assert store.document('servers/p1') is None
        status, page, era = await call(
            store, 'GET', '/-/kv-range?path_prefix=servers/'
        )
        assert (status, page['at'], era) == (200, 2, 2)
        # A watch from a revision that it does not have.
        assert (await watch(store, 4))[0] == 410
        assert (await watch(store, 2))[0] == 200
        # Revisions are given out again.
        store.put('servers/p2', {'state': 'ready'})
        assert store.items['servers/p2']['revision'] == 3
        # Once its counter has passed them, nothing tells what is missing.
        store.put('servers/p3', {'state': 'ready'})
        status, page, _ = await watch(store, 3)
        assert [item['key'] for item in page['events']] == ['servers/p3']
        return [item['revision'] for item in store.events]

    assert asyncio.run(main()) == [2, 3, 4]


def test_leases_of_a_store_that_went_back():
    """A number that is given out again may renew another one's lease."""

    async def grant(store, ttl_ms):
        return await call(store, 'POST', '/-/kv-lease', {'ttl_ms': ttl_ms})

    def write(store, key, lease):
        row = {'key': key, 'lease': lease}
        row['data'] = base64.b64encode(b'{}').decode()
        return call(store, 'POST', '/-/kv-txn', {'write': [row]})

    async def main():
        store = _era.Store()
        await grant(store, 60_000)
        await write(store, 'a', 1)
        store.copy(8.0)
        assert (await grant(store, 60_000))[1]['lease'] == 2
        await write(store, 'b', 2)
        await call(store, 'DELETE', '/-/kv-lease-end/1')
        assert list(store.items) == ['b']
        go_back(store)
        assert list(store.items) == ['a']
        assert (await call(store, 'POST', '/-/kv-keep/2'))[0] == 404
        assert (await call(store, 'POST', '/-/kv-keep/1'))[0] == 200
        assert (await grant(store, 40))[1]['lease'] == 2
        await write(store, 'c', 2)
        await asyncio.sleep(0.1)
        return list(store.items)

    assert asyncio.run(main()) == ['a']


def test_a_watch_that_waits_ends_as_the_store_goes_away():
    """A watch that outlives the store would return changes of both eras."""

    async def main():
        store = _era.Store()
        store.copy(8.0)
        waiting = asyncio.ensure_future(watch(store, 1, wait_ms=30_000))
        await asyncio.sleep(0)
        store.go_away()
        status, _, era = await waiting
        assert (status, era) == (503, 1)
        assert (await watch(store, 1))[0] == 503
        go_back(store)
        return await watch(store, 1)

    status, _, era = asyncio.run(main())
    assert (status, era) == (200, 2)


def test_what_was_written_is_written_again_but_for_a_leave():
    """A drill after which all is as before would try nothing."""

    class Draws(random.Random):
        def random(self):
            # No leave of its own; those that were lost lapse.
            return 0.99

        def uniform(self, low, high):
            return 0.01

    async def main():
        clock = asyncio.get_running_loop().time
        store, records = _era.Store(), _records.Records(4.0, 2.0, 1.0)
        upstreams, declared = {}, {'op/config': {'version': 2}}

        def write(name, state='ready'):
            upstream, host = upstreams[name]
            store.put(f'servers/{name}', upstream.entry(host, 'z', state))

        for number in range(3):
            name = f'p{number}'
            upstream = _platform.Upstream(name, 'desk', records, clock)
            upstreams[name] = (upstream, 'h:1')
        store.put('op/config', {'version': 1})
        write('p0')
        write('p1')
        store.put('servers/p9', {'state': 'ready'})
        store.copy(clock() - 60.0)
        store.put('op/config', declared['op/config'])
        write('p1', 'draining')
        records.left['p1'] = clock()
        store.put('servers/p9', None)
        write('p2')
        drills = _era.Drills(
            store, upstreams, declared, lambda: None, records, write, None,
            Draws(), clock,
        )  # fmt: skip
        await drills._go_back(1.0)
        assert store.era == 2
        assert store.document('op/config') == {'version': 2}
        assert store.document('servers/p1')['state'] == 'ready'
        assert store.document('servers/p2') is None
        await asyncio.gather(*drills._running)
        assert records.store_disruptions
        return sorted(store.items)

    assert asyncio.run(main()) == ['op/config', 'servers/p0', 'servers/p2']
