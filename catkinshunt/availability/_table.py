"""Upstreams that leave, or take no requests of this entry for a while."""

import math

import attrs

from catkinshunt import base
from catkinshunt import logs

#: Most leaving upstreams that are remembered while they are not listed. Their
#: entries may lapse during an outage of the store and come back after it.
MAX_UNLISTED_LEAVES = 1000

_log = logs.get_logger('availability')


@attrs.frozen
class Leave:
    """The statement of an upstream that it leaves.

    Attributes:
        stated_at: estimate of when it was made, in seconds on the boot-time
            clock of this entry. It is early, as a reply counts from its
            request and a message from before a suspend, and late by the
            transits between entries.
        source: name of the entry that got the reply.
    """

    stated_at: float
    source: str


@attrs.frozen
class BackOff:
    """A time in which an upstream wants no requests of this entry.

    Attributes:
        stated_at: when the upstream stated it, on the boot-time clock.
        until: end of the time, on that clock.
    """

    stated_at: float
    until: float


class AvailabilityTable(base.ParamsMixin):
    """Keeps which upstreams leave, and which have asked for back-off.

    A leave ends only with a new start of the upstream, which has another key.
    A back-off ends only by its time, and holds for the id of the upstream,
    whether it starts again or not. It concerns this entry alone.

    While the list of upstreams is out of date, a statement may be that of a
    newer start than the listed one. So it also holds for each later start
    that began before the statement.

    Times are seconds on the boot-time clock.

    Args:
        name: name of this entry.
        unix_offset_s: Unix time at the zero of that clock, in seconds.

    Examples:
        >>> from catkinshunt import catalog
        >>> upstream = catalog.Upstream('u1', 'drafts', ('10.0.0.1', 80))
        >>> table = AvailabilityTable('entry-1')
        >>> table.record_back_off(upstream.key, 2.5, now=1.0)
        True
        >>> table.wait_s(upstream.key, now=2.0)
        1.5
        >>> table.record_leave(upstream.key, Leave(2.0, 'entry-1'))
        True
        >>> table.wait_s(upstream.key, now=2.0)
        inf
    """

    def __init__(self, name, unix_offset_s=0.0):
        self.name = name
        self.unix_offset_s = unix_offset_s
        #: `Leave` by `catalog.Upstream.key`, the oldest first.
        self._leaves = {}
        #: Key of the newest start with a leave, by upstream id.
        self._newest = {}
        #: `BackOff` by upstream id.
        self._back_offs = {}

    def record_leave(self, key, leave):
        """Record that an upstream leaves; return whether that is new.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            leave: the `Leave`.
        """
        if key in self._leaves:
            return False
        self._leaves[key] = leave
        newest = self._newest.setdefault(key[0], key)
        if key[1] >= newest[1]:
            self._newest[key[0]] = key
        _log.info(
            'Upstream {} states that it leaves.',
            key[0],
            source=leave.source,
            started_at_ms=key[1],
        )
        return True

    def record_back_off(self, key, back_off_s, now):
        """Record a time without requests; return whether it ends later.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            back_off_s: seconds from now for which the upstream wants none.
            now: the present time.
        """
        known = self._back_offs.get(key[0])
        if known is not None and known.until >= now + back_off_s:
            return False
        self._back_offs[key[0]] = BackOff(now, now + back_off_s)
        _log.info(
            'Upstream {} wants no requests of this entry for {:g} s.',
            key[0],
            back_off_s,
            source=self.name,
        )
        return True

    def started_at(self, key):
        """Return the start time in a key, in seconds on the boot-time clock.

        Args:
            key: `catalog.Upstream.key` of the upstream.
        """
        return key[1] / 1000 - self.unix_offset_s

    def find_leave(self, key):
        """Return the `Leave` of an upstream, or None.

        The statement of an earlier start may also hold, see the class.

        Args:
            key: `catalog.Upstream.key` of the upstream.
        """
        leave = self._leaves.get(key)
        if leave is not None or key[0] not in self._newest:
            return leave
        earlier = self._newest[key[0]]
        leave = self._leaves[earlier]
        stated_at_ms = (leave.stated_at + self.unix_offset_s) * 1000
        if not earlier[1] < key[1] <= stated_at_ms:
            return None
        self.record_leave(key, leave)
        return leave

    def is_leaving(self, key):
        """Return whether an upstream has stated that it leaves."""
        return self.find_leave(key) is not None

    def back_off_s(self, key, now):
        """Return the seconds left of the back-off; 0 for none."""
        back_off = self._back_offs.get(key[0])
        return 0.0 if back_off is None else max(0.0, back_off.until - now)

    def wait_s(self, key, now):
        """Return the seconds until an upstream takes requests.

        Infinite if it leaves.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            now: the present time.
        """
        upstream_id = key[0]
        if upstream_id in self._newest and self.is_leaving(key):
            return math.inf
        if upstream_id not in self._back_offs:
            return 0.0
        return self.back_off_s(key, now)

    @property
    def is_empty(self):
        """Whether no upstream has stated anything that may still hold."""
        return not (self._leaves or self._back_offs)

    def leaves(self):
        """Return pairs of a key and its `Leave`, the oldest first."""
        return list(self._leaves.items())

    def describe(self, key, now):
        """Return what holds for an upstream as text for logs, '' if nothing.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            now: the present time.
        """
        leave = self.find_leave(key)
        if leave is not None:
            age_s = max(0.0, now - leave.stated_at)
            return f'leaves, stated {age_s:.2f} s ago to {leave.source}'
        back_off_s = self.back_off_s(key, now)
        if not back_off_s:
            return ''
        age_s = now - self._back_offs[key[0]].stated_at
        return (
            f'wants no requests of this entry for {back_off_s:.2f} s more,'
            f' stated {age_s:.2f} s ago'
        )

    def forget(self, keys, now):
        """Drop what cannot hold any more.

        A leave is dropped once the upstream is listed with another start. One
        that is not listed may be listed again as it was, so its leave is kept.

        Args:
            keys: `catalog.Upstream.key` of the listed upstreams.
            now: the present time.
        """
        for upstream_id, back_off in list(self._back_offs.items()):
            if back_off.until <= now:
                del self._back_offs[upstream_id]
        if not self._leaves:
            return
        listed = set(keys)
        for key in listed:
            # Copies a statement from an earlier start, which is then dropped.
            self.find_leave(key)
        listed_ids = {key[0] for key in listed}
        unlisted = [key for key in self._leaves if key not in listed]
        restarted = [key for key in unlisted if key[0] in listed_ids]
        gone = [key for key in unlisted if key[0] not in listed_ids]
        oldest = gone[: max(0, len(gone) - MAX_UNLISTED_LEAVES)]
        for key in (*restarted, *oldest):
            del self._leaves[key]
            if self._newest.get(key[0]) == key:
                del self._newest[key[0]]

    def leaving_by_id(self):
        """Return 1 for each leaving upstream, by metric label values."""
        return {(key[0],): 1 for key in self._leaves}

    def back_offs_by_id(self, now):
        """Return the seconds left of each back-off, by metric label values."""
        return {
            (upstream_id,): round(back_off.until - now, 3)
            for upstream_id, back_off in self._back_offs.items()
            if back_off.until > now
        }
