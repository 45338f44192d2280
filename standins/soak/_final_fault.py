"""Kills all processes at one moment, and starts them together again."""

import asyncio
import collections
import signal

import attrs

#: Seconds after the return from which on service must be back, and the share
#: of the requests that must be served from then on, as before the fault.
RECOVERY_S, LEAST_SHARE = 12.0, 0.25
#: Seconds in which requests are counted then, and before the fault.
COUNTED_S = 8.0
#: Shortest and longest time until the processes are started again.
DOWN_S = (0.3, 2.0)
#: Shares of the engines that crash, most seconds from their crash to the
#: fault, and shortest and longest time until they are back.
CRASH_SHARES, CRASH_LEAD_S, AWAY_S = (0.0, 0.6, 1.0), 4.0, (1.0, 9.0)
#: Seconds until the entry of an engine that is gone lapses, and until the one
#: of a live engine is listed again after an outage of the store.
LAPSE_S, LISTED_S = 1.0, 2.0
#: Share of the runs with an outage of the store, its begin relative to the
#: fault, and its length.
OUTAGE_SHARE, OUTAGE_BEGIN_S, OUTAGE_S = 0.6, (-1.0, 3.0), (2.0, 6.0)
#: Times at which a version may be named, relative to the fault, and share of
#: the runs in which it is.
VERSION_TIMES_S, VERSION_SHARE = ((-6.0, -0.5), (0.0, 1.0), (2.0, 4.0)), 0.4


@attrs.define
class Return:
    """What is seen of a return.

    Attributes:
        killed_at: when the processes were killed.
        returned_at: when they were started again.
    """

    killed_at: float
    returned_at: float

    def served(self, answers):
        """Return pairs (served, sent) of requests before and after.

        Only requests to engines count; a plain service needs no weights.
        """
        from_at = self.returned_at + RECOVERY_S
        spans = (
            (self.killed_at - COUNTED_S, self.killed_at),
            (from_at, from_at + COUNTED_S),
        )
        found = []
        for begin, end in spans:
            counted = [
                answer
                for answer in answers
                if answer.kind == 'chat' and begin <= answer.sent_at < end
            ]
            found.append(
                (sum(answer.whole for answer in counted), len(counted))
            )
        return found

    def check(self, answers):
        """Return a sentence if too little is served after the return."""
        (before, sent_before), (after, sent) = self.served(answers)
        if before < LEAST_SHARE * sent_before or not sent_before:
            return []
        if sent and after >= LEAST_SHARE * sent:
            return []
        return [
            f'{RECOVERY_S:g} s after the return {after} of {sent} requests '
            f'were served, before the fault {before} of {sent_before}'
        ]

    def first_runs_s(self, runs):
        """Return the sorted times to the first run of each engine.

        They count from the return.
        """
        first = collections.defaultdict(list)
        for run in runs:
            if run.upstream[0] == 'e' and run.at >= self.returned_at:
                first[run.upstream].append(run.at - self.returned_at)
        return sorted(min(times) for times in first.values())


class FinalFault:
    """Draws what goes with the fault, and lets it come.

    Args:
        processes: all `Process` objects.
        upstreams: pairs of `Upstream` and host by name.
        store: `Store`.
        crash: coroutine function of an engine's name and the seconds for
            which it is away.
        name_version: coroutine function that names the next version.
        write_upstream: function that writes the entry of an upstream.
        random: source of random numbers.
        clock: gives seconds on the steady clock.
    """

    def __init__(
        self, processes, upstreams, store, crash, name_version,
        write_upstream, random, clock,
    ):  # fmt: skip
        self.processes = processes
        self.upstreams = upstreams
        self.store = store
        self.crash = crash
        self.name_version = name_version
        self.write_upstream = write_upstream
        self.random = random
        self.clock = clock
        self.drawn = []

    async def run(self, at):
        """Let the fault come at a time; return the `Return`."""
        around = [
            asyncio.ensure_future(self._later(at + offset_s, action))
            for offset_s, action in self._draw()
        ]
        await asyncio.sleep(at - self.clock())
        killed_at = self.clock()
        for process in self.processes:
            process.send(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(*DOWN_S))
        for process in self.processes:
            await asyncio.to_thread(process.popen.wait)
        for process in self.processes:
            process.start()
        returned_at = self.clock()
        await asyncio.gather(*around)
        return Return(killed_at, returned_at)

    async def _later(self, at, action):
        await asyncio.sleep(max(0.0, at - self.clock()))
        await action()

    def _draw(self):
        """Return pairs of an offset to the fault and an action."""
        chance = self.random
        actions = []
        engines = [name for name in self.upstreams if name[0] == 'e']
        share = chance.choice(CRASH_SHARES)
        lead_s = chance.uniform(0.0, CRASH_LEAD_S)
        away_s = chance.uniform(*AWAY_S)
        for name in chance.sample(engines, round(share * len(engines))):
            actions.append(
                (-lead_s, lambda name=name: self.crash(name, away_s))
            )
        self.drawn.append(f'{share:.0%} crash {-lead_s:.1f} s {away_s:.1f} s')
        if chance.random() < OUTAGE_SHARE:
            begin_s = chance.uniform(*OUTAGE_BEGIN_S)
            length_s = chance.uniform(*OUTAGE_S)
            kind = chance.choice(('refuse', 'silent'))
            actions.append((begin_s, lambda: self._lapse(kind, length_s)))
            self.drawn.append(f'{kind} {begin_s:.1f} s {length_s:.1f} s')
        for span in VERSION_TIMES_S:
            if chance.random() < VERSION_SHARE:
                offset_s = chance.uniform(*span)
                actions.append((offset_s, self._name_version))
                self.drawn.append(f'version {offset_s:.1f} s')
        return actions

    async def _name_version(self):
        while self.store.fault is not None:
            await asyncio.sleep(0.05)
        await self.name_version()

    async def _lapse(self, kind, length_s):
        """Let the store be away, and entries of upstreams lapse."""
        self.store.fault = kind
        await asyncio.sleep(min(LAPSE_S, length_s))
        for name in self.upstreams:
            self.store.put(f'servers/{name}', None)
        await asyncio.sleep(max(0.0, length_s - LAPSE_S))
        self.store.fault = None
        await asyncio.gather(*map(self._list_again, list(self.upstreams)))

    async def _list_again(self, name):
        await asyncio.sleep(self.random.uniform(0.0, LISTED_S))
        if name in self.upstreams and not self.upstreams[name][0].gone:
            self.write_upstream(name)
