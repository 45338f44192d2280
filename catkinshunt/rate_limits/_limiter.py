"""Keeps the share of one entry in the limits of upstreams."""

import attrs

from catkinshunt import base
from catkinshunt import errors
from catkinshunt.rate_limits import _bucket
from catkinshunt.rate_limits import _table
from catkinshunt import rendezvous

#: Entries that share a limit, beyond the first, per request per second. Each
#: one may send a request at once, so their number is bounded by the limit.
HOLDERS_PER_RATE = 1.0
#: Lowest limit that is kept, in requests per second. An upstream that states
#: less gets so many, since only a reply shows that the limit has ended.
MIN_RATE_PER_S = 0.1
#: Seconds without news of a limit after which entries without a share try the
#: upstream now and then; they may be cut off from those that have one.
STALE_S = 30.0
#: Share of the limit that all these entries use together.
STALE_RATE_SHARE = 0.25
#: Age in seconds of the list of entries from which this entry has no share:
#: its key in the store may have expired, and others may have taken over.
MAX_LIST_AGE_S = 8.0


class RateLimitedError(errors.OverloadedError):
    """Not run: the limits of all available upstreams are used up."""

    code = 'rate-limited'


@attrs.define
class _Position:
    """Position of this entry in the order of entries for one upstream.

    Attributes:
        revision: `catalog.LiveEntries.revision` that it was computed for.
        index: position; None if this entry is not listed.
    """

    revision: int
    index: int | None


class RateLimiter(base.ParamsMixin):
    """Decides when this entry may send to upstreams that state a limit.

    A limit holds for all entries together. It is shared by few of them, those
    that are first in an order that all entries compute alike from the list of
    entries; the others send nothing there. So no request waits for a message
    between entries, and a limit below the number of entries can be kept.

    Args:
        name: name of this entry.
        live_entries: `catalog.LiveEntries`.
        catalog: `catalog.Catalog`; its age is that of the list of entries.
        random: source of random numbers.
    """

    def __init__(self, name, live_entries, catalog, random):
        self.name = name
        self.live_entries = live_entries
        self.catalog = catalog
        self.random = random
        #: `RateLimitTable` of what upstreams state.
        self.table = _table.RateLimitTable(name)
        self._buckets = {}
        self._positions = {}

    def observe(self, key, per_s, sent_at, now):
        """See `RateLimitTable.observe`."""
        changed = self.table.observe(key, per_s, sent_at, now)
        self._drop_unlimited(key)
        return changed

    def merge(self, key, limit):
        """See `RateLimitTable.merge`."""
        changed = self.table.merge(key, limit)
        self._drop_unlimited(key)
        return changed

    def forget(self, keys):
        """Drop what is known of upstreams that are not among `keys`."""
        self.table.forget(keys)
        for key in list(self._buckets):
            self._drop_unlimited(key)

    def wait_s(self, key, now):
        """Return the seconds until a request may be sent to an upstream.

        0 without a limit, infinite if this entry has no share of it.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            now: seconds on the boot-time clock.
        """
        limit = self.table.find(key)
        if limit is None:
            return 0.0
        return self._bucket(key, limit, now).wait_s(now)

    def take(self, key, now):
        """Return whether a request may be sent now, and count it.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            now: seconds on the boot-time clock.
        """
        limit = self.table.find(key)
        return limit is None or self._bucket(key, limit, now).take(now)

    def entry_rate(self, keys):
        """Return the mean rate per entry that the limits of `keys` allow.

        Args:
            keys: `catalog.Upstream.key` of each upstream.
        """
        limits = [self.table.find(key) for key in keys]
        rates = [max(x.per_s, MIN_RATE_PER_S) for x in limits if x is not None]
        return sum(rates) / max(1, self.live_entries.count())

    def _drop_unlimited(self, key):
        if self.table.find(key) is None:
            self._buckets.pop(key, None)
            self._positions.pop(key, None)

    def _bucket(self, key, limit, now):
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _bucket.TokenBucket(now)
        rate, tokens = self._share(key, limit, now)
        bucket.set_rate(rate, now, tokens)
        return bucket

    def _share(self, key, limit, now):
        """Return the rate of this entry and the tokens to begin with."""
        index = self._index(key)
        age_s = self.catalog.age_s(now)
        if index is None or age_s is None or age_s > MAX_LIST_AGE_S:
            return 0.0, 0.0
        per_s = max(limit.per_s, MIN_RATE_PER_S)
        count = self.live_entries.count()
        holders = min(count, 1 + int(per_s * HOLDERS_PER_RATE))
        if index < holders:
            return per_s / holders, 0.0
        if now - limit.stated_at > STALE_S:
            # A random start keeps entries from trying it at the same time.
            return per_s * STALE_RATE_SHARE / count, self.random.random()
        return 0.0, 0.0

    def _index(self, key):
        revision = self.live_entries.revision
        position = self._positions.get(key)
        if position is None or position.revision != revision:
            index = None
            if self.live_entries.has(self.name):
                names = self.live_entries.names()
                order = rendezvous.rank(f'{key[0]}/{key[1]}', names)
                index = order.index(self.name)
            position = self._positions[key] = _Position(revision, index)
        return position.index
