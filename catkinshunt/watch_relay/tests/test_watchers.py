from catkinshunt import catalog as catalogs
import pytest

from catkinshunt import catalog
from catkinshunt.watch_relay import _watchers

REGIONS = ('attiki', 'kriti', 'thessalia')
NAMES = {f'{region}-{n}': region for region in REGIONS for n in range(4)}


def make(name):
    live_entries = catalog.LiveEntries()
    live_entries.replace(
        {n: catalog.EntryLocation(n, r) for n, r in NAMES.items()}
    )
    return _watchers.WatcherSelector(live_entries, name, NAMES[name])


def choices(now=0.0):
    return {name: make(name).choose(now) for name in NAMES}


def test_one_process_is_direct_and_one_of_each_other_region_uses_it():
    found = choices()
    (watcher,) = [name for name, choice in found.items() if choice is None]
    remote = {n: c for n, c in found.items() if c is not None and c.is_remote}
    assert {choice.name for choice in remote.values()} == {watcher}
    assert {NAMES[n] for n in remote} == set(REGIONS) - {NAMES[watcher]}


def test_watchers_form_no_cycle():
    """Two that watch through each other would confirm an outdated state."""
    found = choices()
    for name in NAMES:
        steps = 0
        while found[name] is not None:
            name = found[name].name
            steps += 1
            assert steps <= 2


@pytest.mark.parametrize('times', [1, 2, 5])
def test_processes_of_an_unreachable_region_are_not_tried_in_turn(times):
    """Each attempt would add a time-out without any newer state."""
    name = next(
        n for n, c in choices().items() if c is not None and c.is_remote
    )
    selector = make(name)
    now = 0.0
    for _ in range(times):
        selector.note_failure(selector.choose(now), now)
        assert selector.choose(now) is None
        now += _watchers.MAX_PAUSE_S
    assert selector.choose(now) is not None


def test_a_change_of_era_ends_the_search_for_others():
    """The service answers again; two processes would wait for each other."""
    live_entries = catalogs.LiveEntries()
    live_entries.replace(
        {
            name: catalogs.EntryLocation('10.0.0.1', 'attiki')
            for name in ('edge-1', 'edge-2')
        }
    )
    selectors = [
        _watchers.WatcherSelector(live_entries, name, 'attiki')
        for name in live_entries.names()
    ]
    for selector in selectors:
        selector.note_source_failure(now=1.0)
    assert all(selector.choose(now=1.5) for selector in selectors)
    for selector in selectors:
        selector.resume()
    assert [selector.choose(now=1.5) for selector in selectors].count(
        None
    ) == 1
