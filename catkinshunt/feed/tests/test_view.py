from catkinshunt import feed

PREFIXES = ('operator/', 'entries/')


def make_view(now):
    """Return a view of which every part was read at `now`."""
    view = feed.View(PREFIXES)
    for prefix in PREFIXES:
        view.take_read(prefix, feed.Page((), 7), now)
    return view


def test_a_read_of_one_part_does_not_prove_the_others():
    """Who follows would take an old configuration for the newest one."""
    view = make_view(now=1.0)
    view.take_read('entries/', feed.Page((), 9), now=5.0)
    assert view.changes('', 7, now=5.0).proved_at == 1.0
    assert view.below('operator/').proved_at == 1.0
    assert view.below('entries/').proved_at == 5.0


def test_changes_prove_all_parts():
    view = make_view(now=1.0)
    view.take_changes(feed.Page((), 9), now=5.0)
    assert view.changes('', 7, now=5.0).proved_at == 5.0


def test_an_older_page_takes_no_proof_back():
    view = make_view(now=5.0)
    view.take_changes(feed.Page((), 9, proved_at=3.0), now=6.0)
    assert view.proved_at == 5.0
