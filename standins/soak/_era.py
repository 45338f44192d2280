"""A store that goes back to a copy, and drills in which it does."""

import asyncio
import base64
import collections
import json

import attrs

from standins.soak import _platform

#: Seconds between two copies of the store, and how many are kept.
COPY_PERIOD_S, COPIES = 0.2, 40
#: Shortest and longest time between two drills, for which the store is away
#: in one, and age of the copy from which it comes back, in seconds.
PAUSE_S, AWAY_S, AGE_S = (3.0, 5.0), (0.1, 0.8), (0.3, 5.0)
#: Share of the drills in which the store goes back twice, and longest time
#: between the two, in seconds.
TWICE_SHARE, TWICE_S = 0.3, 0.5
#: Share of the drills before which an upstream leaves, and the time between
#: in seconds; share of those after which one does, and the time between.
LEAVE_BEFORE_SHARE, BEFORE_S = 0.7, (0.6, 3.0)
LEAVE_AFTER_SHARE, AFTER_S = 0.8, (3.0, 4.0)
#: Seconds for which an upstream serves on once it has said that it leaves.
SERVE_ON_S = (5.0, 8.0)
#: Seconds after which a heartbeat writes an entry of the list again.
HEARTBEAT_S = (0.0, 1.0)
#: Share of the leaves that are written again, seconds until then, and seconds
#: until the entry of the others lapses.
AGAIN_SHARE, AGAIN_S, LAPSE_S = 0.5, (0.3, 2.2), (2.2, 2.6)
#: Share of the drills right before which the operator edits, how often, and
#: the time between two edits in seconds. The more, the longer the store's
#: counter stays below what entries have seen.
EDITS_SHARE, EDITS, EDIT_S = 0.6, (1, 16), (0.0, 0.1)


@attrs.frozen
class Copy:
    """What the store held at a time; `leases` are pairs by number."""

    at: float
    items: dict
    events: tuple
    revision: int
    oldest: int
    granted: int
    leases: dict


class Store(_platform.Store):
    """A store that can go back to a copy of itself."""

    def __init__(self):
        super().__init__()
        self._copies = collections.deque(maxlen=COPIES)

    def copy(self, now):
        """Take a copy."""
        leases = {
            number: (held.ttl_s, frozenset(held.keys))
            for number, held in self.leases.items()
        }
        self._copies.append(
            Copy(
                now,
                dict(self.items),
                tuple(self.events),
                self.revision,
                self.oldest,
                self.granted,
                leases,
            )
        )

    def go_away(self):
        """Refuse all calls, and end the watches that wait."""
        self.is_away = True
        self._changes.notify_all()

    def go_back(self, age_s, now):
        """Go back to a copy that is at least `age_s` old, or the oldest."""
        while len(self._copies) > 1 and self._copies[-1].at > now - age_s:
            self._copies.pop()
        copy = self._copies[-1]
        self.era += 1
        self.items = dict(copy.items)
        self.events = list(copy.events)
        self.revision, self.oldest = copy.revision, copy.oldest
        self.granted = copy.granted
        for held in self.leases.values():
            held.timer.cancel()
        self.leases = {}
        for number, (ttl_s, keys) in copy.leases.items():
            self._hold(number, ttl_s)
            self.leases[number].keys = set(keys)
        self._changes.notify_all()

    def come_back(self):
        """Answer calls again."""
        self.is_away = False

    def document(self, key):
        """Return the document under a key, or None."""
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item['data']))


class Drills:
    """Lets the store go back, and upstreams leave before and after.

    Args:
        store: `Store`.
        upstreams: (`_platform.Upstream`, host) by name.
        declared: what the operator has written, by key.
        edit: function that writes the operator's next configuration.
        records: `_records.Records`.
        write: function of a name and a state that writes its list entry.
        replace: coroutine function of a name that ends an upstream and
            starts another one in its place.
        random: source of random numbers.
        clock: gives seconds on the steady clock.
    """

    def __init__(
        self, store, upstreams, declared, edit, records, write, replace,
        random, clock,
    ):  # fmt: skip
        self.store = store
        self.upstreams = upstreams
        self.declared = declared
        self.edit = edit
        self.records = records
        self.write = write
        self.replace = replace
        self.random = random
        self.clock = clock
        self._running = []

    async def run(self, until):
        """Hold drills until a time on the clock."""
        copying = asyncio.ensure_future(self._copy())
        try:
            while self.clock() < until:
                await self._pause(PAUSE_S)
                if self.clock() < until:
                    await self._drill(until)
            await asyncio.gather(*self._running)
        finally:
            copying.cancel()

    async def _copy(self):
        while True:
            self.store.copy(self.clock())
            await asyncio.sleep(COPY_PERIOD_S)

    async def _pause(self, bounds):
        await asyncio.sleep(self.random.uniform(*bounds))

    def _draw(self, share):
        return self.random.random() < share

    def _start(self, work):
        self._running.append(asyncio.ensure_future(work))

    async def _drill(self, until):
        since = self.clock()
        age_s = self.random.uniform(*AGE_S)
        leaves = self._draw(LEAVE_BEFORE_SHARE)
        if leaves:
            self._start(self._leave(until))
            await self._pause(BEFORE_S)
        if self._draw(EDITS_SHARE):
            for _ in range(self.random.randint(*EDITS)):
                self.edit()
                await self._pause(EDIT_S)
        if leaves:
            # The copy is from before the leave.
            age_s = max(age_s, self.clock() - since)
        await self._go_back(age_s)
        if self._draw(TWICE_SHARE):
            await self._pause((0.0, TWICE_S))
            await self._go_back(self.random.uniform(*AGE_S))
        if self._draw(LEAVE_AFTER_SHARE) and self.clock() < until:
            await self._pause(AFTER_S)
            self._start(self._leave(until))

    async def _leave(self, until):
        """Let an upstream say that it leaves, and another take its place."""
        names = self._names_that_may_leave()
        end = self.clock() + self.random.uniform(*SERVE_ON_S)
        if not names or self.store.is_away:
            return
        name = self.random.choice(names)
        self.records.left[name] = self.clock()
        self.write(name, 'draining')
        await asyncio.sleep(max(0.0, min(end, until) - self.clock()))
        if self._is_alive(name):
            await self.replace(name)

    def _is_alive(self, name):
        upstream, _ = self.upstreams.get(name, (None, None))
        return upstream and not upstream.gone and not upstream.is_dead

    def _has_left(self, name):
        upstream, _ = self.upstreams.get(name, (None, None))
        return name in self.records.left or (upstream and upstream.is_leaving)

    def _names_that_may_leave(self):
        """Return the names of those whose service has another upstream."""
        names = [
            name
            for name in sorted(self.upstreams)
            if self._is_alive(name) and not self._has_left(name)
        ]
        kinds = collections.Counter(name[0] for name in names)
        return [name for name in names if kinds[name[0]] > 1]

    async def _go_back(self, age_s):
        since = self.clock()
        self.store.go_away()
        await self._pause(AWAY_S)
        self.store.go_back(age_s, since)
        for key, document in self.declared.items():
            if self.store.document(key) != document:
                self.store.put(key, document)
        self.store.come_back()
        self.records.note_store_fault(since, self.clock())
        listed = {
            key.removeprefix('servers/')
            for key in self.store.items
            if key.startswith('servers/')
        }
        for name in sorted(listed | self.upstreams.keys()):
            self._start(self._write_again(name))

    async def _write_again(self, name):
        """Write the list entry of an upstream again, or let it lapse."""
        is_late = self._draw(AGAIN_SHARE)
        if self._is_alive(name) and not self._has_left(name):
            await self._pause(HEARTBEAT_S)
        else:
            await self._pause(AGAIN_S if is_late else LAPSE_S)
        key = f'servers/{name}'
        document = self.store.document(key)
        is_lost = document is None or document['state'] == 'ready'
        if not self._is_alive(name):
            if document is not None:
                self.store.put(key, None)
        elif not self._has_left(name):
            self.write(name)
        elif is_lost and is_late:
            self.write(name, 'draining')
        elif is_lost and document is not None:
            self.store.put(key, None)
