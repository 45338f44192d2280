"""Newest limit of each upstream."""

import math

import attrs

from catkinshunt import base
from catkinshunt import logs

#: Relative difference of two limits from which they count as different.
MIN_CHANGE_SHARE = 0.1
#: Seconds by which the end of a limit, as told by another entry, must be newer
#: than the limit was last stated here. Another entry may have got a reply from
#: before that.
END_MARGIN_S = 2.0
#: Limit of an upstream that states none.
UNLIMITED = math.inf

_log = logs.get_logger('rate-limits')


@attrs.frozen
class StatedLimit:
    """Limit of one upstream at one time.

    Attributes:
        per_s: requests per second that it accepts from all entries together;
            infinite if it states no limit.
        version: number of changes that the source of this one knew, so that
            a higher one is newer.
        stated_at: when it was last stated, on the boot-time clock of this
            entry; later than that by the transit times of the news.
        source: name of the entry that got the reply.
        learned_at: when this entry learned of this version.
    """

    per_s: float
    version: int
    stated_at: float
    source: str
    learned_at: float

    @property
    def is_limited(self):
        """Whether the upstream states a limit."""
        return self.per_s < UNLIMITED


class RateLimitTable(base.ParamsMixin):
    """Keeps the newest limit of each upstream.

    Args:
        name: name of this entry.

    Examples:
        >>> from catkinshunt import catalog
        >>> upstream = catalog.Upstream('u1', 'drafts', ('10.0.0.1', 80))
        >>> table = RateLimitTable('entry-1')
        >>> table.observe(upstream.key, 1.5, sent_at=2.0, now=2.1)
        True
        >>> table.find(upstream.key).per_s
        1.5
    """

    def __init__(self, name):
        self.name = name
        #: `StatedLimit` by `catalog.Upstream.key`.
        self._limits = {}

    def find(self, key):
        """Return the `StatedLimit` of an upstream, or None if it has none."""
        limit = self._limits.get(key)
        return limit if limit is not None and limit.is_limited else None

    @property
    def is_empty(self):
        """Whether no upstream has stated a limit."""
        return not self._limits

    def newest(self, key):
        """Return the newest `StatedLimit`, also if it ended; None if none."""
        return self._limits.get(key)

    def items(self):
        """Return pairs of a key and its newest `StatedLimit`."""
        return list(self._limits.items())

    def limited(self):
        """Return the `StatedLimit` of each limited upstream, by key."""
        return {
            key: limit
            for key, limit in self._limits.items()
            if limit.is_limited
        }

    def values_by_id(self):
        """Return the limits in force per second, by (upstream id,)."""
        return {
            (key[0],): limit.per_s for key, limit in self.limited().items()
        }

    def describe(self, key, now):
        """Return the limit of an upstream as text for logs, '' if none."""
        limit = self.find(key)
        if limit is None:
            return ''
        return (
            f'limit {limit.per_s:g}/s stated'
            f' {max(0.0, now - limit.stated_at):.2f} s ago to {limit.source}'
        )

    def observe(self, key, per_s, sent_at, now):
        """Record what a reply states; return whether the limit changed.

        Replies on several connections may overtake each other. So a reply
        raises or ends a limit only if its request was sent after the limit
        was last stated.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            per_s: stated requests per second; infinite if none are stated.
            sent_at: when the request was sent, on the boot-time clock.
            now: the present time on that clock.
        """
        known = self._limits.get(key)
        # Without a limit, the upstream had none at this time or later.
        stated_at = sent_at if per_s == UNLIMITED else now
        if known is None:
            if per_s == UNLIMITED:
                return False
            return self._replace(
                key, StatedLimit(per_s, 1, stated_at, self.name, now)
            )
        if not _differs(known.per_s, per_s):
            self._confirm(key, known, stated_at)
            return False
        if per_s > known.per_s and sent_at <= known.stated_at:
            return False
        version = known.version + 1
        return self._replace(
            key, StatedLimit(per_s, version, stated_at, self.name, now)
        )

    def merge(self, key, news):
        """Record news of another entry; return whether the limit changed.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            news: the `StatedLimit` as the other entry knows it.
        """
        known = self._limits.get(key)
        if known is None:
            if not news.is_limited:
                return False
        elif _order(news) <= _order(known):
            if _order(news) == _order(known):
                self._confirm(key, known, news.stated_at)
            return False
        elif known.is_limited and not news.is_limited:
            if news.stated_at <= known.stated_at + END_MARGIN_S:
                return False
        return self._replace(key, news)

    def _confirm(self, key, known, stated_at):
        """Record that a known limit was stated again."""
        stated_at = max(known.stated_at, stated_at)
        self._limits[key] = attrs.evolve(known, stated_at=stated_at)

    def _replace(self, key, limit):
        known = self.find(key)
        self._limits[key] = limit
        was_per_s = known.per_s if known is not None else UNLIMITED
        if _differs(was_per_s, limit.per_s):
            _log_change(key, limit)
        return True

    def forget(self, keys):
        """Drop the limits of upstreams that are not among `keys`."""
        kept = set(keys)
        self._limits = {
            key: limit for key, limit in self._limits.items() if key in kept
        }


def _order(limit):
    """Return a sort key: of two news of one version, the lower limit wins."""
    return limit.version, -limit.per_s


def _differs(before, after):
    if UNLIMITED in (before, after):
        return before != after
    return abs(after - before) > MIN_CHANGE_SHARE * before


def _log_change(key, limit):
    upstream_id = key[0]
    if limit.is_limited:
        _log.info(
            'Upstream {} accepts {:g} requests per second from all entries.',
            upstream_id,
            limit.per_s,
            source=limit.source,
        )
    else:
        _log.info(
            'Upstream {} no longer limits its requests.',
            upstream_id,
            source=limit.source,
        )
