import pytest

from catkinshunt import catalog
from catkinshunt.feed import _watchers

REGIONS = ('attiki', 'kriti', 'thessalia')
NAMES = {f'{region}-{n}': region for region in REGIONS for n in range(4)}


def make(name):
    live_entries = catalog.LiveEntries()
    live_entries.replace(
        {n: catalog.EntryLocation(n, r) for n, r in NAMES.items()}
    )
    return _watchers.WatcherSelector(live_entries, name, NAMES[name])


def chosen(now=0.0):
    return {name: make(name).choose(now) for name in NAMES}


def test_one_reads_and_one_of_each_other_region_asks_it():
    found = chosen()
    (reader,) = [name for name, choice in found.items() if choice is None]
    far = {n: c for n, c in found.items() if c is not None and c.is_far}
    assert {choice.name for choice in far.values()} == {reader}
    assert {NAMES[n] for n in far} == set(REGIONS) - {NAMES[reader]}


def test_nobody_follows_in_a_circle():
    """Two that follow each other would hold an old state for new."""
    found = chosen()
    for name in NAMES:
        steps = 0
        while found[name] is not None:
            name = found[name].name
            steps += 1
            assert steps <= 2


@pytest.mark.parametrize('times', [1, 2, 5])
def test_a_region_out_of_reach_is_not_asked_one_process_after_the_other(
    times,
):
    """Each would take a time-out, in which nothing newer is learnt."""
    name = next(n for n, c in chosen().items() if c is not None and c.is_far)
    readers = make(name)
    now = 0.0
    for _ in range(times):
        readers.blame(readers.choose(now), now)
        assert readers.choose(now) is None
        now += _watchers.MOST_PAUSE_S
    assert readers.choose(now) is not None
