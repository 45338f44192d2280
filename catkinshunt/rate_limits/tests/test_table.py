import math

import attrs
import pytest

from catkinshunt import rate_limits

KEY = ('u1', 7, ('10.0.0.1', 80))


def table_with(per_s=2.0, now=10.0):
    table = rate_limits.RateLimitTable('entry-1')
    table.observe(KEY, per_s, now - 0.1, now)
    return table


def test_newest_limit_counts():
    table = table_with(2.0)
    assert table.observe(KEY, 0.5, sent_at=9.0, now=11.0)
    assert table.find(KEY).per_s == 0.5


def test_reply_sent_before_the_limit_does_not_end_it():
    """A reply that was overtaken would lift a limit that is in force."""
    table = table_with(now=10.0)
    assert not table.observe(KEY, math.inf, sent_at=9.9, now=10.5)
    assert table.find(KEY) is not None


def test_reply_sent_after_the_limit_ends_it():
    """A limit that ended would keep requests from the upstream for good."""
    table = table_with(now=10.0)
    assert table.observe(KEY, math.inf, sent_at=10.1, now=10.5)
    assert table.find(KEY) is None


def test_slow_reply_without_limit_does_not_hide_a_newer_limit():
    """Another entry may know a limit that is newer than this request."""
    table = table_with(now=10.0)
    newer = rate_limits.StatedLimit(1.0, 2, 11.0, 'entry-2', 12.0)
    table.merge(KEY, newer)
    table.observe(KEY, math.inf, sent_at=10.5, now=12.0)
    assert table.find(KEY) == newer


def test_older_reply_does_not_raise_the_limit():
    """Replies from before and after a fall may overtake each other."""
    table = table_with(4.0, now=10.0)
    table.observe(KEY, 1.0, sent_at=10.5, now=11.0)
    table.observe(KEY, 4.0, sent_at=10.4, now=11.1)
    assert table.find(KEY).per_s == 1.0


def test_older_news_of_another_entry_is_ignored():
    table = table_with(2.0, now=10.0)
    table.observe(KEY, 1.0, sent_at=10.5, now=11.0)
    old = rate_limits.StatedLimit(2.0, 1, 12.0, 'entry-2', 12.0)
    assert not table.merge(KEY, old)
    assert table.find(KEY).per_s == 1.0


def test_reply_from_before_the_limit_does_not_end_it_elsewhere():
    """An entry with a slow link would end the limit of all others."""
    table = table_with(2.0, now=10.0)
    ended = rate_limits.StatedLimit(math.inf, 2, 9.5, 'entry-2', 12.0)
    assert not table.merge(KEY, ended)
    assert table.merge(KEY, attrs.evolve(ended, stated_at=12.5))


def test_two_news_of_one_version_do_not_alternate():
    """Entries would forward both to each other for ever."""
    table = table_with(2.0)
    lower = rate_limits.StatedLimit(1.0, 1, 10.5, 'entry-2', 12.0)
    higher = rate_limits.StatedLimit(2.0, 1, 11.0, 'entry-3', 12.0)
    assert table.merge(KEY, lower)
    assert not table.merge(KEY, higher)
    assert not table.merge(KEY, lower)


@pytest.mark.parametrize(
    ('per_s', 'changes', 'kept'), [(2.1, False, 2.0), (3.0, True, 3.0)]
)
def test_small_differences_are_no_change(per_s, changes, kept):
    """Each reply may state a slightly different limit."""
    table = table_with(2.0)
    assert table.observe(KEY, per_s, sent_at=10.1, now=11.0) == changes
    assert table.find(KEY).per_s == kept


def test_restarted_upstream_has_no_limit():
    """An upstream that starts again under its id knows nothing of before."""
    table = table_with()
    assert table.find(('u1', 8, KEY[2])) is None


def test_unlisted_upstreams_are_forgotten():
    table = table_with()
    table.forget([])
    assert table.limited() == {}
