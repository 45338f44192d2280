import math

from catkinshunt import catalog as catalogs


def upstream(name, **changes):
    fields = {'id': name, 'service': 'desk', 'address': ('10.0.0.1', 80)}
    return catalogs.Upstream(**{**fields, **changes})


def test_a_later_version_does_not_delay_the_one_before():
    """Each version becomes due at its own time.

    If only the latest one counted, requests would start on the oldest version
    after the middle one is due.
    """
    catalog = catalogs.Catalog()
    catalog.add_announced_version('drafts', 2, announced_after=0.0)
    catalog.add_announced_version('drafts', 3, announced_after=2.0)
    due = [catalog.due_version('drafts', 8.0, now) for now in (7, 9, 11)]
    assert due == [None, 2, 3]


def test_a_mark_that_an_older_list_lacks_is_trusted_no_longer_than_unread():
    """Its version may have become due while the store was away."""
    catalog = catalogs.Catalog()
    catalog.add_announced_version('drafts', 2, -math.inf)
    catalog.mark_pending('drafts', 2, now=10.0)
    catalog.confirm(now=10.0)
    catalog.begin_era(now=11.0, confirm_s=3.0)
    catalog.confirm(now=12.0)
    due = [catalog.due_version('drafts', 8.0, now) for now in (11.0, 12.0)]
    catalog.mark_pending('drafts', 2, now=12.0)
    due.append(catalog.due_version('drafts', 8.0, now=12.0))
    assert due == [None, 2, None]


def test_many_versions_do_not_delay_the_first():
    """The first of ten versions was forgotten before it was due."""
    catalog = catalogs.Catalog()
    for number in range(10):
        catalog.add_announced_version('drafts', 2 + number, 0.5 * number)
    assert catalog.due_version('drafts', grace_s=8.0, now=8.01) is not None


def test_an_older_version_is_ignored():
    catalog = catalogs.Catalog()
    assert catalog.add_announced_version('drafts', 3, announced_after=0.0)
    assert not catalog.add_announced_version('drafts', 2, announced_after=1.0)
    assert catalog.newest_version('drafts').version == 3


def test_a_leaving_upstream_gets_no_requests():
    catalog = catalogs.Catalog()
    catalog.put_upstream(upstream('u1'))
    catalog.put_upstream(upstream('u2'))
    catalog.put_upstream(upstream('u1', leaving=True))
    assert [u.id for u in catalog.upstreams('desk', 0.0)] == ['u2']


def test_a_removed_upstream_is_not_used_if_there_are_others():
    catalog = catalogs.Catalog()
    catalog.put_upstream(upstream('u1'))
    catalog.put_upstream(upstream('u2'))
    catalog.drop_upstream('u1', now=0.0)
    assert [u.id for u in catalog.upstreams('desk', 0.1)] == ['u2']


def test_a_removed_upstream_that_reappears_is_used():
    catalog = catalogs.Catalog()
    catalog.put_upstream(upstream('u1'))
    catalog.drop_upstream('u1', now=0.0)
    catalog.put_upstream(upstream('u1'))
    assert [u.id for u in catalog.upstreams('desk', 9.0)] == ['u1']


def test_account_keys_are_trusted_until_the_state_is_too_old():
    catalog = catalogs.Catalog(key_trust_s=3.0)
    assert not catalog.can_trust_keys(0.0)
    catalog.confirm(5.0)
    catalog.confirm(4.0)
    assert catalog.can_trust_keys(7.9)
    assert not catalog.can_trust_keys(8.0)


def test_last_upstreams_stay_usable_after_two_changes_of_era():
    """They lapse in the outage of the second change, and write again after it.

    Requests would be refused until then.
    """
    catalog = catalogs.Catalog()
    catalog.put_upstream(upstream('u1'))
    catalog.begin_era(now=0.0, confirm_s=4.0)
    catalog.drop_upstream('u1', now=0.1)
    catalog.begin_era(now=0.2, confirm_s=4.0)
    assert [u.id for u in catalog.upstreams('desk', now=0.3)] == ['u1']
    assert catalog.upstreams('desk', now=2.0) == []


def test_earlier_start_of_a_leaving_upstream_is_not_used():
    """An older list has the start before the one that left."""
    catalog = catalogs.Catalog()
    first = upstream('i-1', started_at_ms=1000)
    catalog.put_upstream(upstream('i-1', started_at_ms=2000))
    catalog.put_upstream(upstream('i-1', started_at_ms=2000, leaving=True))
    catalog.begin_era(now=0.0, confirm_s=3.0)
    catalog.replace_upstreams([first, upstream('i-2')], now=0.1)
    used = [[u.id for u in catalog.upstreams('desk', t)] for t in (1.0, 4.0)]
    assert used == [['i-2'], ['i-1', 'i-2']]


def test_earlier_start_of_a_removed_upstream_is_not_used():
    """An older list has the start before the one that was shut down."""
    catalog = catalogs.Catalog()
    first = upstream('i-1', started_at_ms=1000)
    catalog.put_upstream(upstream('i-1', started_at_ms=2000))
    catalog.drop_upstream('i-1', now=0.0)
    catalog.begin_era(now=0.0, confirm_s=3.0)
    catalog.replace_upstreams([first, upstream('i-2')], now=0.1)
    assert [u.id for u in catalog.upstreams('desk', 1.0)] == ['i-2']
    # Its clock was set back before it started again.
    catalog.put_upstream(first)
    assert [u.id for u in catalog.upstreams('desk', 1.0)] == ['i-1', 'i-2']


def test_leave_outlasts_the_time_in_which_the_list_is_doubted():
    """An older list may stay as it is for longer than that."""
    catalog = catalogs.Catalog()
    catalog.put_upstream(upstream('i-1', started_at_ms=1000, leaving=True))
    catalog.begin_era(now=0.0, confirm_s=3.0)
    catalog.replace_upstreams([upstream('i-1', started_at_ms=1000)], now=0.1)
    assert catalog.upstreams('desk', 10.0) == []


def test_later_start_of_a_leaving_upstream_is_used_at_once():
    """It has started again, and the older list has that already."""
    catalog = catalogs.Catalog()
    catalog.put_upstream(upstream('i-1', started_at_ms=1000, leaving=True))
    catalog.begin_era(now=0.0, confirm_s=3.0)
    catalog.replace_upstreams([upstream('i-1', started_at_ms=2000)], now=0.1)
    assert [u.id for u in catalog.upstreams('desk', 1.0)] == ['i-1']
