"""Replay of prompts of few parts, beside a whole request that is bad as well.

Callers of sound requests give up after `MOST_TRIES`, as clients do, so that
not each request that ran beside a crash completes later.
"""

import asyncio
import collections

import attrs

from catkinshunt import quarantine
from catkinshunt.quarantine.tests import prompts
from catkinshunt.quarantine.tests import replay
from catkinshunt.tests import virtual_loop

FIRST_PARTS, SECOND_PARTS = ('first-0', 'first-1'), ('second-0', 'second-1')
BAD_PART, CAUSE = 'bad-part-0', 'cause-0'
MOST_TRIES = 2
#: Callers of sound and of bad requests with parts, of requests without parts,
#: and those of them that repeat each one until it is served.
SOUND_CALLERS, BAD_CALLERS, PLAIN_CALLERS, REPEATERS = 6, 2, 8, 3
#: Requests without parts that come again and again.
PLAIN = ('plain-0', 'plain-1', 'plain-2', 'plain-3')
#: Shortest and longest run of a sound request, time until an engine begins
#: to write on the bad part, until a crashed one is back, and pause of a
#: caller that asks again, in seconds.
RUN_S, BEGIN_S, AWAY_S = (0.3, 0.4), (0.05, 0.2), (1.5, 3.5)
AGAIN_S = (0.1, 0.5)
#: Seconds from when bad requests come no more to when sound ones are probed.
PROBED_AFTER_S = 4.0
#: Fewest first tries of a kind of which a share is taken.
FEWEST_TRIES = 8
DURATION_S = 18.0


class FewPartsReplay(prompts.PromptReplay):
    """One seeded run of requests with few parts, and of some without.

    Args:
        seed: decides everything that is left to chance.
        causes: number of bad whole requests without parts.
        busy_share: share of the tries for which no engine is free while
            bad requests come.
        **changes: see `prompts.PromptReplay`.

    Attributes:
        refused_probes: sound requests that are refused at the end.
        tries: time of each first try of a sound request, and whether it
            completed, by first part; that of requests without parts is ''.
    """

    run_s, away_s = RUN_S, AWAY_S

    def __init__(
        self, seed, causes=1, entries=2, engines=4, busy_share=0.0, **changes
    ):
        super().__init__(
            seed, causes=causes, entries=entries, engines=engines, **changes
        )
        self.busy_share = busy_share
        self.until = DURATION_S
        self.refused_probes = []
        self.tries = collections.defaultdict(list)

    async def run(self, duration_s):
        self.until = duration_s
        return await super().run(duration_s + PROBED_AFTER_S)

    # Requests.

    def _requests(self):
        for number in range(SOUND_CALLERS):
            yield f'sound-{number}'
        for number in range(BAD_CALLERS if self.bad_parts else 0):
            yield f'bad-{number}'
        for number in range(PLAIN_CALLERS):
            yield f'plain-caller-{number}'
        for number in range(REPEATERS):
            yield f'again-{number}'
        yield 'probe'

    async def _send_bad(self):
        """Bad requests come from callers of their own."""

    async def _call(self, name):
        if name == 'probe':
            return await self._probe()
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        while self.clock() < self.until:
            if name in self.causes:
                await self._ask(prompts.Prompt(name))
            elif name.startswith('bad'):
                await self._ask(self._make(name, self.bad_parts))
            elif name.startswith('again'):
                prompt = prompts.Prompt(f'{name}-{self._next_number()}')
                while not await self._ask(prompt):
                    pass
            elif name.startswith('plain'):
                prompt = prompts.Prompt(self.random.choice(PLAIN))
                await self._ask_twice(prompt)
            else:
                await self._ask_twice(self._make(name, SECOND_PARTS))

    def _make(self, name, seconds):
        parts = (
            self.random.choice(FIRST_PARTS),
            self.random.choice(seconds),
        )
        return prompts.Prompt(f'{name}-{self._next_number()}', parts)

    async def _ask(self, prompt):
        """Send a request, and wait less than told."""
        entry = self.random.choice(list(self.entries.values()))
        completed, _ = await entry.serve(prompt)
        await asyncio.sleep(self.random.uniform(*AGAIN_S))
        return completed

    async def _ask_twice(self, prompt):
        sent_at = self.clock()
        for number in range(MOST_TRIES):
            entry = self.random.choice(list(self.entries.values()))
            completed, wait_s = await entry.serve(prompt)
            if number == 0:
                first = prompt.parts[0] if prompt.parts else ''
                self.tries[first].append((sent_at, completed))
            if completed:
                break
            self.refused += bool(prompt.parts)
            await asyncio.sleep(min(wait_s, 2.0))
        await asyncio.sleep(self.random.uniform(0.0, 0.1))

    async def _probe(self):
        """Send one sound request of each kind once bad ones have ended."""
        await asyncio.sleep(self.until + PROBED_AFTER_S - 1.0)
        kinds = [(a, b) for a in FIRST_PARTS for b in SECOND_PARTS]
        for number, parts in enumerate(kinds):
            prompt = prompts.Prompt(f'probe-{number}', parts)
            entry = self.random.choice(list(self.entries.values()))
            completed, _ = await entry.serve(prompt)
            if not completed:
                self.refused_probes.append(parts)

    # Engines.

    def choose_engine(self, tried, isolated):
        is_busy = self.random.random() < self.busy_share
        if is_busy and self.clock() < self.until:
            return None
        return super().choose_engine(tried, isolated)

    async def run_at(self, engine, request, isolated):
        if self.bad_part(request) is None:
            return await replay.Replay.run_at(
                self, engine, request.whole, isolated
            )
        return await super().run_at(engine, request, isolated)

    def _example(self, trait):
        if trait in self.causes:
            return quarantine.Traits(trait)
        return quarantine.Traits('bad-new', (FIRST_PARTS[0], trait))


@attrs.frozen
class Summary:
    """What one seed gave.

    Attributes:
        innocents: quarantined traits that crash nothing.
        crashes: number of crashes by the bad part and whole.
        late_runs: of the bad part later than 3 s after its fifth crash.
        late_whole_runs: of the bad whole later than 3 s after its third.
        refused_probes: kinds of sound requests that were refused at the end.
        served: least share of the first tries with one of the first parts
            that completed, of that without parts.
        undecided: causes that some entry has not quarantined.
    """

    innocents: tuple
    crashes: int
    late_runs: int
    late_whole_runs: int
    refused_probes: tuple
    served: float
    undecided: tuple


def play(seed, duration_s=DURATION_S, **changes):
    """Play a seed; return a `Summary`."""

    async def main():
        played = await FewPartsReplay(seed, **changes).run(duration_s)
        return summarize(played)

    return virtual_loop.run(main())


def summarize(played):
    """Return the `Summary` of a `FewPartsReplay` that has ended."""
    late = {}
    for traits, crashes in (
        (played.bad_parts, prompts.CRASHES),
        (played.causes, replay.CRASHES),
    ):
        for trait in traits:
            times = played.crashes_of(trait)
            due = prompts.STOPPED_WITHIN_S
            due += times[crashes - 1] if len(times) >= crashes else 1e9
            begun = played.begun.get(trait, times)
            late[trait] = sum(at > due for at in begun)
    return Summary(
        tuple(sorted(played.innocents_quarantined())),
        sum(crash.cause is not None for crash in played.crashes),
        late.get(BAD_PART, 0),
        late.get(CAUSE, 0),
        tuple(played.refused_probes),
        _served_share(played),
        tuple(sorted(set(played.undecided_causes()))),
    )


def _served_share(played):
    times = sorted(t for p in played.bad_parts for t in played.crashes_of(p))
    if len(times) < prompts.CRASHES:
        return 1.0
    since = times[prompts.CRASHES - 1] + prompts.SERVED_WITHIN_S
    shares = {}
    for first, tries in played.tries.items():
        served = [c for at, c in tries if since <= at <= played.until]
        if len(served) >= FEWEST_TRIES:
            shares[first] = sum(served) / len(served)
    if '' not in shares:
        return 1.0
    other = shares.pop('')
    return min((share / other for share in shares.values()), default=1.0)
