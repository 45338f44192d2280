import pytest

from catkinshunt import watch_relay

PREFIXES = ('operator/', 'entries/')


def revision(number, era=1):
    return watch_relay.Revision(era, number)


def make_cache(now):
    """Return a cache whose prefixes were all read at `now`."""
    cache = watch_relay.WatchCache(PREFIXES)
    for prefix in PREFIXES:
        cache.apply_read(prefix, watch_relay.Page((), revision(7)), now)
    return cache


def test_a_read_of_one_prefix_does_not_confirm_the_others():
    """Processes would take an outdated configuration for the newest one."""
    cache = make_cache(now=1.0)
    cache.apply_read('entries/', watch_relay.Page((), revision(9)), now=5.0)
    assert cache.changes_after('', revision(7)).confirmed_at == 1.0
    assert cache.read_prefix('operator/').confirmed_at == 1.0
    assert cache.read_prefix('entries/').confirmed_at == 5.0


def test_changes_confirm_all_prefixes():
    cache = make_cache(now=1.0)
    cache.apply_changes(watch_relay.Page((), revision(9)), now=5.0)
    assert cache.changes_after('', revision(7)).confirmed_at == 5.0


def test_an_older_page_does_not_lower_the_confirmation_time():
    cache = make_cache(now=5.0)
    cache.apply_changes(
        watch_relay.Page((), revision(9), confirmed_at=3.0), now=6.0
    )
    assert cache.confirmed_at == 5.0


def test_items_missing_from_a_second_read_are_relayed_as_deleted():
    """Processes would otherwise read all items from the service again."""
    cache = watch_relay.WatchCache(PREFIXES)
    kept = watch_relay.Item('entries/1', b'', revision(3))
    lost = watch_relay.Item('entries/2', b'', revision(4))
    cache.apply_read('operator/', watch_relay.Page((), revision(7)), 1.0)
    cache.apply_read(
        'entries/', watch_relay.Page((kept, lost), revision(7)), 1.0
    )
    cache.apply_read('entries/', watch_relay.Page((kept,), revision(9)), 2.0)
    cache.apply_read('operator/', watch_relay.Page((), revision(9)), 2.0)
    assert cache.has_history_since(revision(7))
    page = cache.changes_after('', revision(7))
    assert page.items == (watch_relay.Item('entries/2', None, revision(9)),)
    assert page.changed_after == 1.0


def test_an_older_read_deletes_nothing():
    """A page of another entry may be older than an item it lacks."""
    cache = make_cache(now=1.0)
    fresh = watch_relay.Item('entries/1', b'', revision(9))
    cache.apply_changes(watch_relay.Page((fresh,), revision(9)), now=2.0)
    cache.apply_read(
        'entries/',
        watch_relay.Page((), revision(8), confirmed_at=1.5),
        now=3.0,
    )
    assert cache.read_prefix('entries/').items == (fresh,)
    assert cache.revision == revision(9)


def test_an_older_read_does_not_restore_deleted_items():
    """Processes would go on sending requests to a removed upstream."""
    gone = watch_relay.Item('entries/1', b'', revision(3))
    lost = watch_relay.Item('entries/1', None, revision(10))
    cache = watch_relay.WatchCache(PREFIXES)
    cache.apply_read('operator/', watch_relay.Page((), revision(7)), 1.0)
    cache.apply_read('entries/', watch_relay.Page((gone,), revision(7)), 1.0)
    cache.apply_changes(watch_relay.Page((lost,), revision(10)), 2.0)
    cache.apply_read(
        'entries/',
        watch_relay.Page((gone,), revision(8), confirmed_at=1.5),
        3.0,
    )
    assert cache.changes_after('', revision(9)).items == (lost,)
    assert cache.read_prefix('entries/').items == ()


def test_a_page_of_a_newer_era_starts_the_cache_anew():
    """Revisions are given out again, and no deletion is known any more."""
    cache = make_cache(now=1.0)
    old = watch_relay.Item('entries/1', b'old', revision(9))
    gone = watch_relay.Item('entries/2', None, revision(10))
    cache.apply_changes(watch_relay.Page((old, gone), revision(10)), now=2.0)
    new = watch_relay.Item('entries/1', b'new', revision(5, era=2))
    cache.apply_read(
        'entries/', watch_relay.Page((new,), revision(6, era=2)), now=3.0
    )
    assert cache.era == 2
    assert not cache.is_complete
    assert not cache.has_read('operator/')
    cache.apply_read(
        'operator/', watch_relay.Page((), revision(6, era=2)), now=4.0
    )
    assert cache.revision == revision(6, era=2)
    assert not cache.has_history_since(revision(10))
    assert cache.read_prefix('entries/').items == (new,)
    page = cache.changes_after('', revision(0, era=2))
    assert page.items == (new,)


@pytest.mark.parametrize('number', [5, 500])
def test_a_page_of_an_older_era_is_dropped(number):
    """An answer of before the change arrives late."""
    cache = watch_relay.WatchCache(PREFIXES)
    for prefix in PREFIXES:
        cache.apply_read(
            prefix, watch_relay.Page((), revision(7, era=2)), now=1.0
        )
    late = watch_relay.Item('entries/1', b'', revision(number))
    page = watch_relay.Page((late,), revision(number))
    cache.apply_read('entries/', page, now=2.0)
    cache.apply_changes(page, now=2.0)
    assert cache.read_prefix('entries/').items == ()
    assert cache.revision == revision(7, era=2)
    assert cache.confirmed_at == 1.0


def test_a_reader_that_missed_two_values_counts_from_the_first():
    """The first of two versions would be due at the time of the second."""
    cache = make_cache(now=1.0)
    for number, now in ((8, 3.0), (9, 5.0)):
        item = watch_relay.Item('operator/1', b'', revision(number))
        page = watch_relay.Page((item,), revision(number))
        cache.apply_changes(page, now)
    pages = [cache.changes_after('', revision(n)) for n in (7, 8)]
    assert [page.changed_after for page in pages] == [1.0, 3.0]
