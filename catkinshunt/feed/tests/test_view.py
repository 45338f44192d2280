from catkinshunt import feed

PREFIXES = ('operator/', 'entries/')


def make_view(now):
    """Return a view of which every part was read at `now`."""
    view = feed.WatchCache(PREFIXES)
    for prefix in PREFIXES:
        view.take_read(prefix, feed.Page((), 7), now)
    return view


def test_a_read_of_one_part_does_not_prove_the_others():
    """Who follows would take an old configuration for the newest one."""
    view = make_view(now=1.0)
    view.take_read('entries/', feed.Page((), 9), now=5.0)
    assert view.changes('', 7, now=5.0).confirmed_at == 1.0
    assert view.below('operator/').confirmed_at == 1.0
    assert view.below('entries/').confirmed_at == 5.0


def test_changes_prove_all_parts():
    view = make_view(now=1.0)
    view.take_changes(feed.Page((), 9), now=5.0)
    assert view.changes('', 7, now=5.0).confirmed_at == 5.0


def test_an_older_page_takes_no_proof_back():
    view = make_view(now=5.0)
    view.take_changes(feed.Page((), 9, confirmed_at=3.0), now=6.0)
    assert view.confirmed_at == 5.0


def test_what_a_second_read_lacks_is_told_as_deleted():
    """Who follows would otherwise have to read all again from the store."""
    view = feed.WatchCache(PREFIXES)
    kept = feed.Item('entries/1', b'', 3)
    lost = feed.Item('entries/2', b'', 4)
    view.take_read('operator/', feed.Page((), 7), 1.0)
    view.take_read('entries/', feed.Page((kept, lost), 7), 1.0)
    view.take_read('entries/', feed.Page((kept,), 9), 2.0)
    view.take_read('operator/', feed.Page((), 9), 2.0)
    assert view.knows_since(7)
    page = view.changes('', 7, now=2.0)
    assert page.items == (feed.Item('entries/2', None, 9),)
    assert page.seen_ago_s == 1.0


def test_an_older_read_deletes_nothing():
    """Another entry may know less; what it lacks may have come since."""
    view = make_view(now=1.0)
    fresh = feed.Item('entries/1', b'', 9)
    view.take_changes(feed.Page((fresh,), 9), now=2.0)
    view.take_read('entries/', feed.Page((), 8, confirmed_at=1.5), now=3.0)
    assert view.below('entries/').items == (fresh,)
    assert view.revision == 9


def test_an_older_read_brings_back_nothing_deleted():
    """Who follows would go on sending requests to an upstream that is gone."""
    gone = feed.Item('entries/1', b'', 3)
    lost = feed.Item('entries/1', None, 10)
    view = feed.WatchCache(PREFIXES)
    view.take_read('operator/', feed.Page((), 7), 1.0)
    view.take_read('entries/', feed.Page((gone,), 7), 1.0)
    view.take_changes(feed.Page((lost,), 10), 2.0)
    view.take_read('entries/', feed.Page((gone,), 8, confirmed_at=1.5), 3.0)
    assert view.changes('', 9, now=3.0).items == (lost,)
    assert view.below('entries/').items == ()
