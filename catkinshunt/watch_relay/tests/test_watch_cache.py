from catkinshunt import watch_relay

PREFIXES = ('operator/', 'entries/')


def make_cache(now):
    """Return a cache whose prefixes were all read at `now`."""
    cache = watch_relay.WatchCache(PREFIXES)
    for prefix in PREFIXES:
        cache.apply_read(prefix, watch_relay.Page((), 7), now)
    return cache


def test_a_read_of_one_prefix_does_not_confirm_the_others():
    """Processes would take an outdated configuration for the newest one."""
    cache = make_cache(now=1.0)
    cache.apply_read('entries/', watch_relay.Page((), 9), now=5.0)
    assert cache.changes_after('', 7, now=5.0).confirmed_at == 1.0
    assert cache.read_prefix('operator/').confirmed_at == 1.0
    assert cache.read_prefix('entries/').confirmed_at == 5.0


def test_changes_confirm_all_prefixes():
    cache = make_cache(now=1.0)
    cache.apply_changes(watch_relay.Page((), 9), now=5.0)
    assert cache.changes_after('', 7, now=5.0).confirmed_at == 5.0


def test_an_older_page_does_not_lower_the_confirmation_time():
    cache = make_cache(now=5.0)
    cache.apply_changes(watch_relay.Page((), 9, confirmed_at=3.0), now=6.0)
    assert cache.confirmed_at == 5.0


def test_items_missing_from_a_second_read_are_relayed_as_deleted():
    """Processes would otherwise read all items from the service again."""
    cache = watch_relay.WatchCache(PREFIXES)
    kept = watch_relay.Item('entries/1', b'', 3)
    lost = watch_relay.Item('entries/2', b'', 4)
    cache.apply_read('operator/', watch_relay.Page((), 7), 1.0)
    cache.apply_read('entries/', watch_relay.Page((kept, lost), 7), 1.0)
    cache.apply_read('entries/', watch_relay.Page((kept,), 9), 2.0)
    cache.apply_read('operator/', watch_relay.Page((), 9), 2.0)
    assert cache.has_history_since(7)
    page = cache.changes_after('', 7, now=2.0)
    assert page.items == (watch_relay.Item('entries/2', None, 9),)
    assert page.seen_ago_s == 1.0


def test_an_older_read_deletes_nothing():
    """A page of another entry may be older than an item it lacks."""
    cache = make_cache(now=1.0)
    fresh = watch_relay.Item('entries/1', b'', 9)
    cache.apply_changes(watch_relay.Page((fresh,), 9), now=2.0)
    cache.apply_read(
        'entries/', watch_relay.Page((), 8, confirmed_at=1.5), now=3.0
    )
    assert cache.read_prefix('entries/').items == (fresh,)
    assert cache.revision == 9


def test_an_older_read_does_not_restore_deleted_items():
    """Processes would go on sending requests to a removed upstream."""
    gone = watch_relay.Item('entries/1', b'', 3)
    lost = watch_relay.Item('entries/1', None, 10)
    cache = watch_relay.WatchCache(PREFIXES)
    cache.apply_read('operator/', watch_relay.Page((), 7), 1.0)
    cache.apply_read('entries/', watch_relay.Page((gone,), 7), 1.0)
    cache.apply_changes(watch_relay.Page((lost,), 10), 2.0)
    cache.apply_read(
        'entries/', watch_relay.Page((gone,), 8, confirmed_at=1.5), 3.0
    )
    assert cache.changes_after('', 9, now=3.0).items == (lost,)
    assert cache.read_prefix('entries/').items == ()
