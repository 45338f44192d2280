"""Replay in virtual time of requests that crash engines, beside others."""

import asyncio
import collections
import random

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt import quarantine
from catkinshunt.tests import virtual_loop

PORT = 7700
#: Shortest and longest run of a request that crashes nothing, in seconds.
RUN_S = (0.5, 3.0)
#: A cause crashes its engine within this many seconds of its begin.
CRASH_WITHIN_S = 0.6
#: Shortest and longest time until a crashed engine is back, in seconds.
AWAY_S = (1.0, 4.0)
#: Shortest and longest way of a datagram, in seconds.
DATAGRAM_S = (0.001, 0.005)
#: Longest pause of a caller before it sends its request again, in seconds.
MAX_PAUSE_S = 1.0
#: Requests that an engine runs at a time, and tries of an entry.
SLOTS, MAX_TRIES = 16, 3
#: Time in which crashes with other reasons come, in seconds.
OTHER_CRASHES_WITHIN_S = 30.0
#: Crashes after which a cause is to be stopped, and seconds until it is.
CRASHES, STOPPED_WITHIN_S = 3, 3.0
POPULAR = 'popular'


@attrs.define(eq=False)
class Engine:
    """An engine, with the runs of its present start.

    Attributes:
        start: number of the start.
        is_up: whether it accepts connections.
        runs: `Run` objects, as keys.
    """

    number: int
    start: int = 1
    is_up: bool = True
    runs: dict = attrs.field(factory=dict)

    def listed(self):
        """Return its `catalog.Upstream`."""
        return catalogs.Upstream(
            f'e{self.number}',
            'model',
            (f'127.0.3.{self.number + 1}', 8704),
            started_at_ms=self.start,
        )


@attrs.frozen(eq=False)
class Run:
    """One run of a request; `ended` gets whether it completed."""

    request: str
    ended: asyncio.Future
    isolated: bool


@attrs.frozen
class Crash:
    """A crash of an engine.

    Attributes:
        at: time in seconds.
        cause: fingerprint of the request that crashed it, or None.
        requests: fingerprints of all requests that it ran.
    """

    at: float
    cause: str | None
    requests: tuple


class _Transport:
    def __init__(self, replay, name):
        self.replay = replay
        self.name = name

    def sendto(self, data, address):
        self.replay.deliver(data, self.name, address[0])

    def close(self):
        pass


class Entry:
    """An entry, with the real guard and gossip."""

    def __init__(self, replay, name):
        self.replay = replay
        self.name = name
        self.starts = 0
        self.restart()

    def restart(self):
        """Start with an empty quarantine; requests in progress are lost."""
        if self.starts:
            self.gossip.stop()
            for task in self._tasks:
                task.cancel()
        self.starts += 1
        replay = self.replay
        self.gossip = quarantine.Gossip(
            quarantine.Quarantine(),
            replay.live_entries,
            self.name,
            PORT,
            replay.clock,
            random.Random(f'{replay.seed} {self.name} {self.starts}'),
        )
        self.gossip.connection_made(_Transport(replay, self.name))
        self.guard = quarantine.Guard(
            self.gossip, lambda _: len(replay.engines), replay.is_down
        )
        works = [self.gossip.run()]
        if self.starts > 1:
            # The first ones start together and know of no crash.
            works.append(self.gossip.request_state())
        self._tasks = [asyncio.ensure_future(work) for work in works]

    async def serve(self, request):
        """Run a request; return whether it completed, and seconds to wait."""
        starts = self.starts
        tried = set()
        traits = self.replay.traits(request)
        for _ in range(MAX_TRIES):
            if not self.guard.is_idle:
                wait_s = self.guard.check(traits, self.replay.has_sidecars)
                if wait_s > 0:
                    self.replay.held_s[request] += min(wait_s, MAX_PAUSE_S)
                    return False, wait_s
            isolated = self.replay.has_sidecars and self.guard.is_isolated(
                traits
            )
            engine = self.replay.choose_engine(tried, isolated)
            if engine is None:
                return False, 0.2
            tried.add((engine.number, engine.start))
            self.guard.begin_trial(traits)
            upstream = engine.listed()
            begun_at = self.replay.clock()
            self.replay.sender = self.name
            completed = await self.replay.run_at(engine, request, isolated)
            if self.starts != starts:
                return False, 0.2
            if completed:
                if not self.guard.is_idle:
                    self.guard.record_completion(traits)
                return True, 0.0
            self.guard.record_broken_connection(
                upstream, traits, self.replay.clock() - begun_at
            )
            await self.guard.wait_for_crash_check(upstream, traits)
        return False, 0.2


class Replay:
    """One seeded run.

    Args:
        seed: decides everything that is left to chance.
        engines: number of engines.
        entries: number of entries.
        callers: number of callers whose requests crash nothing.
        causes: number of requests that crash engines.
        other_crashes: number of crashes with other reasons.
        lost_share: share of the datagrams that are lost.
        restarts: number of restarts of entries.
        has_sidecars: whether sidecars keep suspects apart.

    Attributes:
        crashes: `Crash` objects.
        held_s: seconds for which each request was refused.
        quarantined_at: time by entry and request.
        sender: name of the entry that has sent the latest run.
        run_s, away_s: shortest and longest run of a request that crashes
            nothing, and time until a crashed engine is back, in seconds.
    """

    run_s, away_s = RUN_S, AWAY_S

    def __init__(
        self, seed, engines=3, entries=3, callers=16, causes=1,
        other_crashes=0, lost_share=0.0, restarts=0, has_sidecars=True,
    ):  # fmt: skip
        self.seed = seed
        self.random = random.Random(seed)
        self.has_sidecars = has_sidecars
        self.lost_share = lost_share
        self.restarts = restarts
        self.other_crashes = other_crashes
        self.callers = callers
        self.causes = [f'cause-{number}' for number in range(causes)]
        self.engines = [Engine(number) for number in range(engines)]
        self.live_entries = catalogs.LiveEntries()
        names = [f'entry-{number}' for number in range(1, entries + 1)]
        self.live_entries.replace(
            {
                name: catalogs.EntryLocation(f'127.0.1.{n}', 'attiki')
                for n, name in enumerate(names)
            }
        )
        self.names = names
        self.crashes = []
        self.completed = 0
        self.held_s = collections.Counter()
        self.quarantined_at = {}
        self.sender = None

    def traits(self, request):
        """Return the `quarantine.Traits` of a request."""
        return quarantine.Traits(request)

    def clock(self):
        return asyncio.get_running_loop().time()

    async def run(self, duration_s):
        """Play for a time."""
        self.entries = {name: Entry(self, name) for name in self.names}
        works = [self._call(request) for request in self._requests()]
        works += [self._call(cause) for cause in self.causes]
        works += [self._crash_any(), self._restart_entries(), self._observe()]
        tasks = [asyncio.ensure_future(work) for work in works]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self

    def innocents_quarantined(self):
        """Return the requests that crash nothing and were quarantined."""
        return {r for _, r in self.quarantined_at} - set(self.causes)

    def missed_causes(self):
        """Return the causes that some entry does not quarantine."""
        now = self.clock()
        return [
            cause
            for cause in self.causes
            for entry in self.entries.values()
            if entry.gossip.quarantine.remaining_s(cause, now) == 0
        ]

    def crashes_of(self, cause):
        return [crash.at for crash in self.crashes if crash.cause == cause]

    # Engines.

    def choose_engine(self, tried, isolated):
        found = [
            engine
            for engine in self.engines
            if engine.is_up
            and len(engine.runs) < SLOTS
            and not (isolated and any(r.isolated for r in engine.runs))
            and (engine.number, engine.start) not in tried
        ]
        return self.random.choice(found) if found else None

    async def run_at(self, engine, request, isolated):
        ended = asyncio.get_running_loop().create_future()
        run = Run(request, ended, isolated)
        engine.runs[run] = True
        if request in self.causes:
            await asyncio.wait(
                [run.ended], timeout=self.random.uniform(0.0, CRASH_WITHIN_S)
            )
            if not run.ended.done():
                self.crash(engine, request)
        else:
            await asyncio.wait(
                [run.ended], timeout=self.random.uniform(*self.run_s)
            )
        engine.runs.pop(run, None)
        if run.ended.done():
            return run.ended.result()
        self.completed += 1
        return True

    def crash(self, engine, cause=None):
        requests = tuple(sorted({run.request for run in engine.runs}))
        self.crashes.append(Crash(self.clock(), cause, requests))
        engine.is_up = False
        for run in engine.runs:
            if not run.ended.done():
                run.ended.set_result(False)
        engine.runs = {}
        asyncio.get_running_loop().call_later(
            self.random.uniform(*self.away_s), self._bring_back, engine
        )

    def _bring_back(self, engine):
        engine.start += 1
        engine.is_up = True

    async def is_down(self, address):
        await asyncio.sleep(0.001)
        engine = self.engines[int(address[0].rpartition('.')[2]) - 1]
        return not engine.is_up

    # Messages between entries.

    def deliver(self, data, sender, host):
        if self.random.random() < self.lost_share:
            return
        entry = next(
            entry
            for name, entry in self.entries.items()
            if self.live_entries.locations()[name].host == host
        )
        asyncio.get_running_loop().call_later(
            self.random.uniform(*DATAGRAM_S),
            lambda: entry.gossip.datagram_received(
                data, (self.live_entries.locations()[sender].host, PORT)
            ),
        )

    # Traffic and faults.

    def _requests(self):
        for number in range(self.callers):
            yield POPULAR if number % 2 else f'own-{number}'

    async def _call(self, request):
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        while True:
            entry = self.random.choice(list(self.entries.values()))
            completed, wait_s = await entry.serve(request)
            if not completed:
                wait_s = min(wait_s, MAX_PAUSE_S)
                await asyncio.sleep(wait_s * self.random.uniform(1.0, 1.2))

    async def _crash_any(self):
        times = sorted(
            self.random.uniform(1.0, OTHER_CRASHES_WITHIN_S)
            for _ in range(self.other_crashes)
        )
        for at in times:
            await asyncio.sleep(at - self.clock())
            running = [engine for engine in self.engines if engine.is_up]
            if running:
                self.crash(self.random.choice(running))

    async def _restart_entries(self):
        times = sorted(
            self.random.uniform(1.0, OTHER_CRASHES_WITHIN_S / 2)
            for _ in range(self.restarts)
        )
        for at in times:
            await asyncio.sleep(at - self.clock())
            self.random.choice(list(self.entries.values())).restart()

    async def _observe(self):
        while True:
            await asyncio.sleep(0.05)
            now = self.clock()
            for name, entry in self.entries.items():
                for request, _ in entry.gossip.quarantine.all_quarantined(now):
                    self.quarantined_at.setdefault((name, request), now)


def play(seed, duration_s=60.0, **changes):
    """Play a seed; return a summary."""

    async def main():
        replay = await Replay(seed, **changes).run(duration_s)
        return summarize(replay)

    return virtual_loop.run(main())


@attrs.frozen
class Summary:
    """What one seed gave.

    Attributes:
        innocents: quarantined requests that crash nothing.
        missed: causes that some entry does not quarantine at the end.
        crashes: number of crashes by causes.
        late_s: longest time from the third crash of a cause to its last one.
        late_runs: most crashes by a cause after it was to be stopped.
        completed: runs that completed.
        held_s: longest time for which an innocent request was refused.
    """

    innocents: tuple
    missed: tuple
    crashes: int
    late_s: float
    late_runs: int
    completed: int
    held_s: float


def summarize(replay):
    """Return the `Summary` of a `Replay` that has ended."""
    late_s, late_runs = 0.0, 0
    for cause in replay.causes:
        times = replay.crashes_of(cause)
        if len(times) >= CRASHES:
            known_at = times[CRASHES - 1]
            late_s = max(late_s, times[-1] - known_at)
            late = sum(at > known_at + STOPPED_WITHIN_S for at in times)
            late_runs = max(late_runs, late)
    innocent = [
        held_s
        for request, held_s in replay.held_s.items()
        if request not in replay.causes
    ]
    return Summary(
        tuple(sorted(replay.innocents_quarantined())),
        tuple(sorted(set(replay.missed_causes()))),
        sum(crash.cause is not None for crash in replay.crashes),
        late_s,
        late_runs,
        replay.completed,
        max(innocent, default=0.0),
    )
