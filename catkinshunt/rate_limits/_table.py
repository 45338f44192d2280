"""Newest limit of each upstream."""

import math

import attrs

from catkinshunt import base
from catkinshunt import logs

#: Relative difference of two limits from which a change is logged.
LOGGED_CHANGE_SHARE = 0.1

_log = logs.get_logger('rate-limits')


@attrs.frozen
class StatedLimit:
    """Limit of one upstream at one time.

    Attributes:
        per_s: requests per second that it accepts from all entries together;
            infinite if it states no limit.
        stated_at: when it stated this, on the boot-time clock of this entry.
        source: name of the entry that got the reply.
    """

    per_s: float
    stated_at: float
    source: str

    @property
    def is_limited(self):
        """Whether the upstream states a limit."""
        return self.per_s < math.inf


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
        ends a limit only if its request was sent after the limit was stated.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            per_s: stated requests per second; infinite if none are stated.
            sent_at: when the request was sent, on the boot-time clock.
            now: the present time on that clock.
        """
        if per_s == math.inf:
            if self.find(key) is None:
                return False
            # At this time or later, the upstream had no limit.
            limit = StatedLimit(per_s, sent_at, self.name)
        else:
            limit = StatedLimit(per_s, now, self.name)
        return self.merge(key, limit)

    def merge(self, key, limit):
        """Record `limit` if it is the newest; return whether it changed."""
        known = self._limits.get(key)
        if known is not None and limit.stated_at <= known.stated_at:
            return False
        self._limits[key] = limit
        if not _is_change(known, limit):
            return False
        _log_change(key, limit)
        return True

    def forget(self, keys):
        """Drop the limits of upstreams that are not among `keys`."""
        kept = set(keys)
        self._limits = {
            key: limit for key, limit in self._limits.items() if key in kept
        }


def _is_change(known, limit):
    if known is None or not known.is_limited:
        return limit.is_limited
    if not limit.is_limited:
        return True
    difference = abs(limit.per_s - known.per_s)
    return difference > LOGGED_CHANGE_SHARE * known.per_s


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
