"""Replay of requests that share a part of their prompts which crashes engines.

Requests are never alike. Bad ones have the parts `SHARED`, a bad part and
one of their own; sound ones have `SHARED`, one of their caller and one of
their own.
"""

import asyncio
import collections

import attrs

from catkinshunt import quarantine
from catkinshunt.quarantine.tests import replay
from catkinshunt.tests import virtual_loop

#: Shortest and longest time from when a bad request is sent until an engine
#: begins its answer, in seconds.
BEGIN_S = (0.05, 2.0)
SHARED, BESIDE = 'shared', 'beside'
#: Crashes from which on a part is to be stopped, seconds until it is, and
#: seconds from which on sound requests are to be served again.
CRASHES, STOPPED_WITHIN_S, SERVED_WITHIN_S = 5, 3.0, 6.0
#: Seconds that are played.
DURATION_S = 60.0
#: Seconds before a caller sends a refused request again.
PAUSE_S = (0.2, 1.0)


@attrs.frozen
class Prompt:
    """A request with the parts of its prompt.

    Attributes:
        whole: stands for the fingerprint of the whole.
        parts: ids of its shared parts.
    """

    whole: str
    parts: tuple = ()


class PromptReplay(replay.Replay):
    """One seeded run of requests with parts.

    Args:
        seed: decides everything that is left to chance.
        bad_parts: number of bad parts.
        rate: bad requests a second, all bad parts together.
        sends: how often the caller of a bad request sends it at most.
        beside_sound: seconds between sound requests with `BESIDE`, which all
            bad requests have, or 0 if there are none, or None if the part
            does not occur.
        active: pairs of seconds between which bad requests come.
        cut_off: seconds between which the first entry hears of no other.
        **changes: see `replay.Replay`; causes are bad whole requests.

    Attributes:
        begun: times of the runs of each bad part, from entries in touch.
        sound_at: times at which sound requests completed.
        refused: how often sound requests were refused.
    """

    def __init__(
        self, seed, bad_parts=1, rate=3.0, sends=2, beside_sound=None,
        active=((0.0, 1e9),), cut_off=(0.0, 0.0), causes=0, **changes,
    ):  # fmt: skip
        super().__init__(seed, causes=causes, **changes)
        self.bad_parts = [f'bad-part-{number}' for number in range(bad_parts)]
        self.rate = rate
        self.sends = sends
        self.beside_sound = beside_sound
        self.active = active
        self.cut_off = cut_off
        self.begun = collections.defaultdict(list)
        self.sound_at = []
        self.refused = 0
        self._number = 0

    def traits(self, request):
        return quarantine.Traits(request.whole, request.parts)

    def bad_part(self, request):
        """Return the bad part of a request, or None."""
        return next((p for p in request.parts if p in self.bad_parts), None)

    async def run(self, duration_s):
        self._fault = asyncio.ensure_future(self._send_bad())
        try:
            return await super().run(duration_s)
        finally:
            self._fault.cancel()

    # Requests.

    def _requests(self):
        for number in range(self.callers):
            yield f'caller-{number}'
        if self.beside_sound:
            yield BESIDE

    def _next_number(self):
        self._number += 1
        return self._number

    async def _call(self, request):
        """Send requests of one caller, one after the other."""
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        while True:
            whole = f'{request}-{self._next_number()}'
            prompt = Prompt(whole, (SHARED, request, f'own-{whole}'))
            if request in self.causes:
                prompt = Prompt(request, (SHARED, f'of-{request}'))
            while not await self._send(prompt):
                pass
            self.sound_at.append(self.clock())
            if request == BESIDE:
                await asyncio.sleep(self.beside_sound)

    async def _send(self, prompt):
        entry = self.random.choice(list(self.entries.values()))
        completed, wait_s = await entry.serve(prompt)
        if not completed:
            if not self.bad_part(prompt):
                self.refused += 1
            # A caller waits as it is told, but not long.
            wait_s = max(PAUSE_S[0], min(wait_s, PAUSE_S[1]))
            await asyncio.sleep(wait_s * self.random.uniform(1.0, 1.2))
        return completed

    async def _send_bad(self):
        tasks = set()
        while self.bad_parts:
            await asyncio.sleep(self.random.expovariate(self.rate))
            now = self.clock()
            if any(begin <= now < end for begin, end in self.active):
                task = asyncio.ensure_future(self._send_bad_request())
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    async def _send_bad_request(self):
        whole = f'bad-{self._next_number()}'
        parts = (SHARED, self.random.choice(self.bad_parts), f'own-{whole}')
        if self.beside_sound is not None:
            parts += (BESIDE,)
        for _ in range(self.random.randint(1, self.sends)):
            await self._send(Prompt(whole, parts))

    # Engines.

    async def run_at(self, engine, request, isolated):
        part = self.bad_part(request)
        if part is None:
            return await super().run_at(engine, request.whole, isolated)
        if not self._is_cut_off(self.sender):
            self.begun[part].append(self.clock())
        ended = asyncio.get_running_loop().create_future()
        run = replay.Run(request.whole, ended, isolated)
        engine.runs[run] = True
        await asyncio.wait([ended], timeout=self.random.uniform(*BEGIN_S))
        if not ended.done():
            self.crash(engine, part)
        return False

    def deliver(self, data, sender, host):
        receiver = next(
            name
            for name, location in self.live_entries.locations().items()
            if location.host == host
        )
        begin, end = self.cut_off
        if begin <= self.clock() < end and self.names[0] in (sender, receiver):
            return
        super().deliver(data, sender, host)

    def _is_cut_off(self, name):
        """Return whether an entry is out of touch, or was just before."""
        begin, end = self.cut_off
        if name != self.names[0] or begin == end:
            return False
        return begin <= self.clock() < end + STOPPED_WITHIN_S

    # Results.

    def innocents_quarantined(self):
        return {
            trait
            for _, trait in self.quarantined_at
            if trait not in self.bad_parts
            and trait not in self.causes
            and not trait.startswith(('bad-', 'own-bad-'))
        }

    def missed_causes(self):
        """Return the bad parts and requests that some entry does not stop.

        One that is refused but for trials is stopped, though undecided.
        """
        return [
            trait
            for trait in self.causes + self.bad_parts
            for entry in self.entries.values()
            if not entry.gossip.quarantine.find_held(self._example(trait))
            and trait in self._undecided(entry)
        ]

    def undecided_causes(self):
        """Return those that some entry has not quarantined."""
        return [
            trait
            for entry in self.entries.values()
            for trait in self._undecided(entry)
        ]

    def _undecided(self, entry):
        known = entry.gossip.quarantine
        return [
            trait
            for trait in self.causes + self.bad_parts
            if known.remaining_s(trait, self.clock()) == 0
        ]

    def _example(self, trait):
        """Return the traits of a bad request."""
        if trait in self.causes:
            return quarantine.Traits(trait, (SHARED, f'of-{trait}'))
        beside = () if self.beside_sound is None else (BESIDE,)
        return quarantine.Traits('bad-new', (SHARED, trait, *beside))


@attrs.frozen
class Summary:
    """What one seed gave.

    Attributes:
        innocents: quarantined traits that crash nothing.
        missed: bad parts and requests that some entry does not stop.
        undecided: those that some entry has not quarantined.
        crashes: number of crashes by bad parts and requests.
        late_runs: most runs of one of them after it was to be stopped.
        served: sound requests completed from `from_s` on.
        from_s: `SERVED_WITHIN_S` after the fifth crash of the last bad part
            that has five, in seconds.
        refused: how often sound requests were refused.
    """

    innocents: tuple
    missed: tuple
    undecided: tuple
    crashes: int
    late_runs: int
    served: int
    from_s: float
    refused: int


def play(seed, duration_s=DURATION_S, from_s=0.0, **changes):
    """Play a seed; return a `Summary`.

    Args:
        seed: decides everything that is left to chance.
        duration_s: seconds that are played.
        from_s: from when on sound requests are counted at the earliest.
        **changes: see `PromptReplay`.
    """

    async def main():
        played = await PromptReplay(seed, **changes).run(duration_s)
        return summarize(played, from_s)

    return virtual_loop.run(main())


def summarize(played, from_s):
    """Return the `Summary` of a `PromptReplay` that has ended."""
    late_runs = 0
    for trait in played.bad_parts + played.causes:
        times = played.crashes_of(trait)
        if len(times) < CRASHES:
            continue
        due = times[CRASHES - 1] + STOPPED_WITHIN_S
        begun = played.begun.get(trait, times)
        late_runs = max(late_runs, sum(at > due for at in begun))
        from_s = max(from_s, times[CRASHES - 1] + SERVED_WITHIN_S)
    sound = sum(at >= from_s for at in played.sound_at)
    return Summary(
        tuple(sorted(played.innocents_quarantined())),
        tuple(sorted(set(played.missed_causes()))),
        tuple(sorted(set(played.undecided_causes()))),
        sum(crash.cause is not None for crash in played.crashes),
        late_runs,
        sound,
        from_s,
        played.refused,
    )


def calm(seed, from_s, duration_s=DURATION_S, **changes):
    """Return the sound requests served from a time on without bad ones."""
    changes = {**changes, 'bad_parts': 0, 'causes': 0}
    return play(seed, duration_s, from_s, **changes).served
