"""Gossip between entries about the limits of upstreams."""

import asyncio
import math

from catkinshunt import gossip
from catkinshunt import logs
from catkinshunt.rate_limits import _messages
from catkinshunt.rate_limits import _table

#: Interval in seconds of the reminders, each to one random entry. They reach
#: entries that missed an update, and show that a limit still holds.
REMINDER_PERIOD_S = 1.0
#: Most limits in one reminder or reply, a datagram each.
MAX_LIMITS = 16
#: Seconds for which other entries are reminded of the end of a limit, so that
#: an older reminder of the limit does not restore it.
ENDED_REMINDER_S = 60.0
#: Time since the last reminder, in seconds, after which the process must have
#: been suspended and asks others for their limits.
SUSPENDED_S = 1.5 * REMINDER_PERIOD_S
#: Seconds after a suspend in which datagrams are ignored, since their age is
#: not known.
SUSPEND_IGNORE_S = 0.2

_log = logs.get_logger('rate-limits')


class RateLimitGossip(gossip.BaseGossip):
    """Tells other entries what upstreams state of their limits.

    Changes are forwarded at once. Messages hold the age of a limit and not
    its time, since entries have no common clock.

    Args:
        limiter: `RateLimiter` of this entry.
        live_entries: `catalog.LiveEntries`, with the addresses to send to.
        name: name of this entry.
        port: gossip port of all entries.
        clock: returns seconds on the boot-time clock.
        random: source of random numbers.
    """

    def __init__(self, limiter, live_entries, name, port, clock, random):
        super().__init__(
            _messages.CODEC, _log, live_entries, name, port, random
        )
        self.limiter = limiter
        self.clock = clock
        self._reminded_at = None
        self._ignores_until = -math.inf
        # Whether to repeat the request for limits, as the replies to the
        # previous one arrived while datagrams were ignored.
        self._must_ask_again = False

    async def run(self):
        """Send reminders until cancelled."""
        while not self._other_hosts():
            await self.live_entries.wait_for_change()
        while True:
            self.remind(self.clock())
            await asyncio.sleep(
                SUSPEND_IGNORE_S if self._must_ask_again else REMINDER_PERIOD_S
            )

    def remind(self, now):
        """Send the known limits to one entry.

        After a start or a suspend, others are also asked for theirs.

        Args:
            now: seconds on the boot-time clock.
        """
        is_start = self._reminded_at is None
        was_suspended = self._detect_suspend(now)
        if is_start or was_suspended or self._must_ask_again:
            self._fan_out(_messages.LimitsRequest())
        self._must_ask_again = was_suspended
        self._reminded_at = now
        for host in self._random_hosts(1):
            self._send_limits(host, now)

    def announce(self, key):
        """Tell some entries the newest limit of an upstream.

        Args:
            key: `catalog.Upstream.key` of the upstream.
        """
        limit = self.limiter.table.newest(key)
        if limit is not None:
            self._fan_out(_make_message(key, limit, self.clock()))

    def receive(self, message, host):
        """See `gossip.BaseGossip.receive`."""
        now = self.clock()
        if isinstance(message, _messages.LimitsRequest):
            self._send_limits(host, now)
            return
        if self._detect_suspend(now) or now < self._ignores_until:
            return
        key, limit = _parse_message(message, now)
        if self.limiter.merge(key, limit):
            self.announce(key)

    def _detect_suspend(self, now):
        """Return whether the process was suspended since the last reminder.

        If so, datagrams are ignored for a while.
        """
        if self._reminded_at is None:
            return False
        if now - self._reminded_at <= SUSPENDED_S:
            return False
        self._ignores_until = now + SUSPEND_IGNORE_S
        return True

    def _send_limits(self, host, now):
        limits = [
            (key, limit)
            for key, limit in self.limiter.table.items()
            if limit.is_limited or now - limit.learned_at < ENDED_REMINDER_S
        ]
        count = min(MAX_LIMITS, len(limits))
        for key, limit in self.random.sample(limits, count):
            self._send(_make_message(key, limit, now), host)


def _make_message(key, limit, now):
    upstream, started_at_ms, (host, port) = key
    age_s = round(max(0.0, now - limit.stated_at), 3)
    if limit.is_limited:
        return _messages.LimitStated(
            upstream,
            started_at_ms,
            host,
            port,
            limit.version,
            limit.per_s,
            age_s,
            limit.source,
        )
    return _messages.LimitEnded(
        upstream, started_at_ms, host, port, limit.version, age_s, limit.source
    )


def _parse_message(message, now):
    """Return the key of an upstream and its `StatedLimit`."""
    key = (
        message.upstream,
        message.started_at_ms,
        (message.host, message.port),
    )
    per_s = _table.UNLIMITED
    if isinstance(message, _messages.LimitStated):
        per_s = message.per_s
    limit = _table.StatedLimit(
        per_s, message.version, now - message.age_s, message.source, now
    )
    return key, limit
