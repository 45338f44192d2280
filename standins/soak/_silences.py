"""Lets upstreams fall silent, for a second or for good."""

import asyncio

from catkinshunt import notifier

#: Stages of a request at which an upstream may fall silent: before it begins
#: to run, before the head of its reply, between events, and in reports.
STAGES = ('arrival', 'head', 'events', 'reports')
#: Shortest and longest time between two silences, and of one that ends, in
#: seconds.
PAUSE_S, SILENT_S = (0.1, 1.2), (0.8, 1.6)
#: Share of the silences that last for good, and shortest and longest time
#: until another upstream takes the place of one that is silent for good.
FOREVER_SHARE, REPLACED_S = 0.1, (3.0, 6.0)
#: Seconds after which the list entry of an upstream that is silent for good
#: lapses.
LAPSE_S = 2.7


class Silence:
    """Holds up an upstream at some stages of its requests."""

    def __init__(self):
        self._stages = frozenset()
        self._changes = notifier.Notifier()

    def begin(self, stages):
        """Hold up requests at the stages from now on."""
        self._stages = frozenset(stages)

    def end(self):
        """Let all go on."""
        self._stages = frozenset()
        self._changes.notify_all()

    @property
    def is_on(self):
        """Whether any stage is held up."""
        return bool(self._stages)

    async def wait(self, stage):
        """Wait while a stage is held up."""
        while stage in self._stages:
            await self._changes.wait()


class SilenceChanges:
    """Lets upstreams fall silent until a time on the clock.

    Args:
        upstreams: (`_platform.Upstream`, host) by name.
        records: `_records.Records`.
        lapse: function of a name that removes its list entry.
        replace: coroutine function of a name that ends an upstream and
            starts another one in its place.
        random: source of random numbers.
        clock: gives seconds on the steady clock.
    """

    def __init__(self, upstreams, records, lapse, replace, random, clock):
        self.upstreams = upstreams
        self.records = records
        self.lapse = lapse
        self.replace = replace
        self.random = random
        self.clock = clock

    async def run(self, until):
        """Begin silences until a time on the clock, then end all."""
        running = []
        while self.clock() < until:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            name = self.random.choice(sorted(self.upstreams))
            upstream, _ = self.upstreams[name]
            change = self._pause
            if self.random.random() < FOREVER_SHARE:
                change = self._stop
            running.append(asyncio.ensure_future(change(upstream)))
        await asyncio.gather(*running)

    async def _pause(self, upstream):
        # It may have another name than when it was chosen.
        name = upstream.name
        stages = self.random.sample(STAGES, self.random.randint(1, 4))
        length_s = self.random.uniform(*SILENT_S)
        if upstream.silence.is_on:
            return
        since = self.clock()
        upstream.silence.begin(stages)
        await asyncio.sleep(length_s)
        upstream.silence.end()
        self.records.silences.append((name, since, self.clock()))

    async def _stop(self, upstream):
        name = upstream.name
        length_s = self.random.uniform(*REPLACED_S)
        if upstream.silence.is_on or upstream.gone:
            return
        since = self.clock()
        upstream.silence.begin(STAGES)
        upstream.is_dead = True
        await asyncio.sleep(LAPSE_S)
        if upstream.name == name:
            self.lapse(name)
        await asyncio.sleep(length_s - LAPSE_S)
        upstream.silence.end()
        upstream.is_dead = False
        # It may have crashed meanwhile, and be back under another name.
        if upstream.name == name and not upstream.gone:
            await self.replace(name)
        self.records.break_offs[name].append((since, self.clock()))
