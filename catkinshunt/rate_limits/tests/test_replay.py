import math

import pytest

from catkinshunt import rate_limits
from catkinshunt.rate_limits.tests import replay

RUN_S = 60.0
RATES_PER_S = (0.1, 0.25, 0.5, 1.0, 1.8, 4.0, 12.0)


class IgnoringLimiter(rate_limits.RateLimiter):
    """Ignores all limits."""

    def wait_s(self, key, now):
        return 0.0

    def take(self, key, now):
        return True


class PerEntryLimiter(rate_limits.RateLimiter):
    """Keeps the whole limit at each entry, regardless of the others."""

    def _share(self, key, limit, now):
        return limit.per_s, 0.0


def play(
    seed, entries, upstreams=6, limited=3, rate_per_s=60.0, faults=(),
    **changes,
):  # fmt: skip
    """Return a replay in which limits come, change and go."""
    played = replay.Replay(seed, entries, upstreams, rate_per_s, **changes)
    rng = played.random
    for number in range(limited):
        at = rng.uniform(2.0, 10.0)
        while at < RUN_S:
            per_s = rng.choice((*RATES_PER_S, math.inf))
            played.after(at, state_limit, played, number, per_s)
            at += rng.uniform(3.0, 20.0)
    for fault in faults:
        at = rng.uniform(0.0, 10.0)
        while at < RUN_S:
            played.after(at, fault, played)
            at += rng.uniform(1.0, 10.0)
    played.run(RUN_S)
    return played


def state_limit(played, number, per_s):
    played.upstreams[number].state_limit(per_s, played.now)


def restart(played):
    played.restart_entry(played.random.choice(played.entries))


def freeze(played):
    entry = played.random.choice(played.entries)
    played.freeze_entry(entry, played.random.uniform(0.3, 20.0))


def cut(played):
    entry = played.random.choice(played.entries)
    if not entry.is_cut:
        played.cut_entry(entry, played.random.uniform(0.3, 20.0))


def restart_upstream(played):
    number = played.random.randrange(len(played.upstreams))
    played.restart_upstream(number)


def restart_all(played):
    for entry in played.entries:
        played.restart_entry(entry)


@pytest.mark.parametrize('limiter_class', [IgnoringLimiter, PerEntryLimiter])
def test_check_finds_limits_that_are_not_kept_together(limiter_class):
    """A check that overlooks the break proves nothing."""
    played = play(1, entries=12, limited=6, limiter_class=limiter_class)
    assert played.find_excess()


@pytest.mark.parametrize('entries', [1, 5, 36, 120])
@pytest.mark.parametrize('seed', range(5))
def test_limits_hold_over_all_entries(seed, entries):
    """The sum over entries may exceed what each of them keeps."""
    assert play(seed, entries).find_excess() == []


@pytest.mark.parametrize('seed', range(5))
def test_limits_of_all_upstreams_hold(seed):
    """Nothing is left to take what the limits leave out."""
    played = play(seed, entries=12, limited=6)
    assert played.find_excess() == []


@pytest.mark.parametrize(
    'fault', [restart, freeze, cut, restart_upstream, restart_all]
)
@pytest.mark.parametrize('seed', range(5))
def test_limits_hold_under_faults(seed, fault):
    """Entries that know nothing, or old news, mislead the others."""
    played = play(seed, entries=12, faults=[fault])
    assert played.find_excess() == []


@pytest.mark.parametrize('seed', range(10))
def test_limits_hold_under_overlapping_faults(seed):
    faults = [restart, freeze, cut, restart_upstream]
    played = play(seed, entries=20, upstreams=10, limited=8, faults=faults)
    assert played.find_excess() == []


@pytest.mark.parametrize(
    ('entries', 'per_s'), [(5, 1.0), (36, 1.0), (36, 6.0)]
)
def test_limit_is_used(entries, per_s):
    """Limits kept by sending nothing would waste the upstream."""
    played = replay.Replay(3, entries, 2, rate_per_s=40.0)
    for number in range(2):
        state_limit(played, number, per_s)
    played.run(10.0)
    served = played.served
    played.run(60.0)
    assert played.served - served > 0.5 * 60.0 * 2 * per_s
    assert played.refused > 0


@pytest.mark.parametrize('seed', range(5))
def test_all_entries_know_a_limit_in_time(seed):
    """Each entry would send until it gets a reply of its own."""
    played = replay.Replay(seed, 36, 6, rate_per_s=20.0)
    state_limit(played, 0, 1.0)
    while not played.upstreams[0].history.told:
        played.run(0.1)
    played.run(replay.CONTACT_S)
    key = played.upstreams[0].key
    assert all(e.limiter.table.find(key) for e in played.entries)


def test_restarted_entry_learns_the_limits():
    """It would send as many requests as to any other upstream."""
    played = replay.Replay(3, 12, 6, rate_per_s=5.0)
    state_limit(played, 0, 1.0)
    played.run(20.0)
    key = played.upstreams[0].key
    for entry in played.entries:
        played.restart_entry(entry)
        played.run(3.0)
        assert entry.limiter.table.find(key) is not None


def test_ended_limit_frees_the_upstream_everywhere():
    """An entry without a share learns the end of a limit only from others."""
    played = replay.Replay(3, 36, 4, rate_per_s=100.0)
    state_limit(played, 0, 1.0)
    played.run(20.0)
    state_limit(played, 0, math.inf)
    played.run(10.0)
    key = played.upstreams[0].key
    limited = [e for e in played.entries if e.limiter.wait_s(key, 30.0) > 0]
    assert limited == []


def test_entries_without_news_try_the_upstream_again():
    """Entries cut off from those with a share would never use it again."""
    played = replay.Replay(3, 8, 2, rate_per_s=40.0)
    state_limit(played, 0, 1.0)
    played.run(5.0)
    state_limit(played, 0, math.inf)
    key = played.upstreams[0].key
    holders = [e for e in played.entries if e.limiter.wait_s(key, 5.0) < 9]
    for entry in holders:
        played.freeze_entry(entry, 200.0)
    # They stay listed, so no other entry takes over their share.
    played._listed_until = dict.fromkeys(played._listed_until, math.inf)
    played.run(120.0)
    entry = next(e for e in played.entries if e not in holders)
    assert entry.limiter.wait_s(key, played.now) == 0
