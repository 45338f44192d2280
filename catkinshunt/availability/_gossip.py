"""Gossip between entries about upstreams that leave."""

import asyncio

from catkinshunt.availability import _messages
from catkinshunt.availability import _table
from catkinshunt import gossip
from catkinshunt import logs

#: Interval in seconds of the reminders, each to one random entry. They reach
#: entries that missed an update.
REMINDER_PERIOD_S = 1.0
#: Seconds after a statement in which others are reminded of it.
REMINDER_S = 60.0
#: Most leaves in one reminder, and in a reply to a request, a datagram each.
MAX_REMINDERS = 16
MAX_REPLIES = 64
#: Time since the last reminder, in seconds, after which the process must have
#: been suspended and may have missed datagrams.
SUSPENDED_S = 1.5 * REMINDER_PERIOD_S

_log = logs.get_logger('availability')


class LeaveGossip(gossip.BaseGossip):
    """Tells other entries which upstreams have stated that they leave.

    New statements are forwarded at once. A leave of one start of an upstream
    never ends, so messages may arrive late or in any order. Back-offs are not
    gossiped, as an upstream asks each entry for its own.

    Args:
        table: `AvailabilityTable` of this entry.
        live_entries: `catalog.LiveEntries`, with the addresses to send to.
        name: name of this entry.
        port: gossip port of all entries.
        clock: returns seconds on the boot-time clock.
        random: source of random numbers.
        wake_log: `wake_log.WakeLog` on the same clock.
    """

    def __init__(
        self, table, live_entries, name, port, clock, random, wake_log
    ):
        super().__init__(
            _messages.CODEC, _log, live_entries, name, port, random
        )
        self.table = table
        self.clock = clock
        self.wake_log = wake_log
        self._reminded_at = None

    async def run(self):
        """Send reminders until cancelled."""
        while not self._other_hosts():
            await self.live_entries.wait_for_change()
        while True:
            self.remind(self.clock())
            await asyncio.sleep(REMINDER_PERIOD_S)

    def remind(self, now):
        """Send recent leaves to one entry.

        After a start or a suspend, others are also asked for theirs.

        Args:
            now: seconds on the boot-time clock.
        """
        last = self._reminded_at
        if last is None or now - last > SUSPENDED_S:
            self._fan_out(_messages.LeavesRequest())
        self._reminded_at = now
        recent = [
            (key, leave)
            for key, leave in self.table.leaves()
            if now - leave.stated_at < REMINDER_S
        ]
        for host in self._random_hosts(1):
            self._send_leaves(recent, MAX_REMINDERS, host, now)

    def announce(self, key):
        """Tell some entries that an upstream leaves.

        Args:
            key: `catalog.Upstream.key` of the upstream.
        """
        leave = self.table.find_leave(key)
        if leave is not None:
            self._fan_out(_make_message(key, leave, self.clock()))

    def receive(self, message, host):
        """See `gossip.BaseGossip.receive`."""
        now = self.clock()
        if isinstance(message, _messages.LeavesRequest):
            # The newest ones are most likely to be unknown there.
            newest = self.table.leaves()[-MAX_REPLIES:]
            self._send_leaves(newest, MAX_REPLIES, host, now)
            return
        # A message that is read after a suspend may have arrived before it.
        # Dated later, the leave would also hold for a start of the upstream
        # that began meanwhile.
        key, leave = _parse_message(message, self.wake_log.arrived_after(now))
        if self.table.record_leave(key, leave):
            self.announce(key)

    def _send_leaves(self, leaves, most, host, now):
        count = min(most, len(leaves))
        for key, leave in self.random.sample(leaves, count):
            self._send(_make_message(key, leave, now), host)


def _make_message(key, leave, now):
    upstream, started_at_ms, (host, port) = key
    age_s = round(max(0.0, now - leave.stated_at), 3)
    return _messages.LeaveStated(
        upstream, started_at_ms, host, port, age_s, leave.source
    )


def _parse_message(message, arrived_after):
    """Return the key of an upstream and its `Leave`.

    Args:
        message: `_messages.LeaveStated`.
        arrived_after: time after which it arrived, in seconds on the
            boot-time clock.
    """
    key = (
        message.upstream,
        message.started_at_ms,
        (message.host, message.port),
    )
    stated_at = arrived_after - message.age_s
    return key, _table.Leave(stated_at, message.source)
