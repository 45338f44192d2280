import math
import random

import pytest

from catkinshunt import catalog as catalogs
from catkinshunt import rate_limits
from catkinshunt.rate_limits import _limiter

KEY = ('u1', 7, ('10.0.0.1', 80))


def make_limiter(
    name='entry-0', entries=12, listed=True, per_s=1.0, now=100.0
):
    """Return the limiter of an entry that knows a limit since `now`."""
    live_entries = catalogs.LiveEntries()
    names = {f'entry-{n}' for n in range(entries)}
    live_entries.replace(names if listed else names - {name})
    catalog = catalogs.Catalog()
    catalog.confirm(now)
    limiter = rate_limits.RateLimiter(
        name, live_entries, catalog, random.Random(1)
    )
    limiter.observe(KEY, per_s, now - 0.1, now)
    return limiter


def wait_s(entries, per_s, now=100.0, **options):
    """Return `RateLimiter.wait_s` of each of some entries."""
    return [
        make_limiter(f'entry-{n}', entries, per_s=per_s, **options).wait_s(
            KEY, now
        )
        for n in range(entries)
    ]


@pytest.mark.parametrize(
    ('per_s', 'holders'), [(0.25, 1), (1.0, 2), (4.0, 5), (50.0, 12)]
)
def test_few_entries_share_a_limit(per_s, holders):
    """Each entry may send at once, so many would exceed the limit."""
    found = [each for each in wait_s(12, per_s) if each < math.inf]
    assert len(found) == holders
    # Who has a share begins with an empty bucket.
    assert min(found) == pytest.approx(holders / per_s)


@pytest.mark.parametrize('per_s', [0.0, 0.01])
def test_lowest_limit_still_shows_its_end(per_s):
    """Without any request, no reply would show that the limit ended."""
    found = [each for each in wait_s(3, per_s) if each < math.inf]
    assert found == [pytest.approx(1 / _limiter.MIN_RATE_PER_S)]


def test_unlisted_entry_has_no_share():
    """Others may have taken over the share of an entry whose key expired."""
    assert wait_s(3, 4.0, listed=False) == [math.inf] * 3


def test_entry_with_an_old_list_has_no_share():
    """An entry cut off from the store does not see that others took over."""
    limiter = make_limiter(entries=1, per_s=4.0)
    assert limiter.wait_s(KEY, 100.0) < math.inf
    now = 100.0 + _limiter.MAX_LIST_AGE_S + 0.1
    assert limiter.wait_s(KEY, now) == math.inf
    limiter.catalog.confirm(now)
    assert 0 < limiter.wait_s(KEY, now) < math.inf


def test_share_that_is_taken_over_begins_empty():
    """Entries that take turns would each send a request at once."""
    limiter = make_limiter(entries=1, per_s=1.0)
    assert limiter.wait_s(KEY, 100.0) == pytest.approx(1.0)
    assert limiter.wait_s(KEY, 105.0) == 0
    limiter.live_entries.replace(['other'])
    assert limiter.wait_s(KEY, 105.0) == math.inf
    limiter.live_entries.replace(['entry-0'])
    assert limiter.wait_s(KEY, 105.0) == pytest.approx(1.0)


def test_limit_that_falls_takes_back_unused_tokens():
    """A burst saved up under the old limit would exceed the new one."""
    limiter = make_limiter(entries=1, per_s=40.0)
    assert limiter.wait_s(KEY, 100.0) > 0
    assert limiter.wait_s(KEY, 101.0) == 0
    limiter.observe(KEY, 0.5, 101.0, 101.1)
    taken = [limiter.take(KEY, 101.1) for _ in range(5)]
    assert taken == [True, False, False, False, False]
