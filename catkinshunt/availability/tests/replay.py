"""Replay in virtual time of upstreams that leave or ask for back-off."""

import math
import random

import attrs

from catkinshunt import availability
from catkinshunt.rate_limits.tests import replay
from catkinshunt import wake_log
from standins import statement_rules

PORT = 7706
#: Seconds that an entry has to heed that an upstream leaves.
DRAIN_S = 2.0
#: Seconds between two evictions of what entries remember.
EVICTION_S = 10.0


class Entry(replay.Entry):
    """One entry, with its table of availability.

    Attributes:
        listed: upstreams that it may send to, as the store last told it.
        interruptions: (begin, end) of its restarts and freezes.
    """

    def __init__(self, played, name, host):
        self.interruptions = []
        super().__init__(played, name, host)

    def start(self):
        super().start()
        self.listed = []
        self.table = self.replay.table_class(self.name)
        self.leave_gossip = availability.LeaveGossip(
            self.table,
            self.live_entries,
            self.name,
            PORT,
            lambda: self.replay.now,
            random.Random(f'leaves {self.name}/{self.process}'),
            wake_log.WakeLog(lambda: self.replay.now),
        )
        self.leave_gossip.connection_made(replay.Transport(self.replay, self))

    def remind(self, now):
        super().remind(now)
        self.leave_gossip.remind(now)

    def receive(self, data, sender, port):
        if port == PORT:
            self.leave_gossip.datagram_received(data, (sender.host, port))
        else:
            super().receive(data, sender, port)

    def update_from_store(self):
        super().update_from_store()
        if not self.is_cut and not self.replay.is_store_away:
            self.listed = self.replay.listed_upstreams()

    def evict(self):
        keys = [upstream.key for upstream in self.listed]
        self.table.forget(keys, self.replay.now)

    def knows_unavailable(self, upstream):
        return self.table.wait_s(upstream.key, self.replay.now) > 0


@attrs.define(eq=False)
class Upstream(replay.Upstream):
    """One start of an upstream.

    Attributes:
        is_leaving: whether it says so in its answers.
        is_reported: whether the store shows that; otherwise its entry is
            removed, or stays as it was.
        back_off_s: Retry-After of its rejections, None while it answers.
        told: `statement_rules.Told` objects.
        arrivals: `statement_rules.Arrival` objects.
        rejections: `statement_rules.Rejection` objects.
    """

    is_leaving: bool = False
    is_reported: bool = False
    back_off_s: float | None = None
    told: list = attrs.field(factory=list)
    arrivals: list = attrs.field(factory=list)
    rejections: list = attrs.field(factory=list)


class Replay(replay.Replay):
    """Adds leaves and back-offs; see `rate_limits.tests.replay.Replay`.

    Args:
        table_class: `availability.AvailabilityTable` or a class like it.
        heeds_at_send: whether entries ask the table before they send.
    """

    entry_class = Entry

    def __init__(
        self, *args, table_class=availability.AvailabilityTable,
        heeds_at_send=True, **changes,
    ):  # fmt: skip
        self.table_class = table_class
        self.heeds_at_send = heeds_at_send
        super().__init__(*args, **changes)
        self.upstreams = [Upstream(each.key) for each in self.upstreams]
        self.starts = list(self.upstreams)
        for entry in self.entries:
            entry.update_from_store()
            self.after(self.random.random(), self._evict, entry)

    def listed_upstreams(self):
        return [
            upstream
            for upstream in self.upstreams
            if not (upstream.is_leaving and upstream.is_reported)
        ]

    def restart_upstream(self, number):
        """Restart an upstream under its id; it states nothing then."""
        name, _, address = self.upstreams[number].key
        restarted = Upstream((name, math.ceil(self.now * 1000), address))
        self.upstreams[number] = restarted
        self.starts.append(restarted)

    def freeze_entry(self, entry, seconds):
        entry.interruptions.append((self.now, self.now + seconds))
        super().freeze_entry(entry, seconds)

    def restart_entry(self, entry):
        entry.interruptions.append((self.now, self.now))
        super().restart_entry(entry)

    def find_broken_leaves(self):
        """Return the `statement_rules.Arrival` objects that came too late."""
        spans = {entry.name: entry.interruptions for entry in self.entries}
        return [
            late
            for start in self.starts
            for late in statement_rules.find_requests_to_leaving(
                start.told, start.arrivals, DRAIN_S, _make_excuse(spans)
            )
        ]

    def find_broken_back_offs(self):
        """Return the `statement_rules.Rejection` objects not heeded."""
        spans = {entry.name: entry.disruptions for entry in self.entries}
        names = {start.key[0] for start in self.starts}
        found = []
        for name in sorted(names):
            starts = [each for each in self.starts if each.key[0] == name]
            found += statement_rules.find_broken_back_offs(
                [each for start in starts for each in start.rejections],
                [each for start in starts for each in start.arrivals],
                _make_excuse(spans),
            )
        return found

    def _evict(self, entry):
        self.after(EVICTION_S, self._evict, entry)
        entry.evict()

    def _arrive(self):
        self.after(self.random.expovariate(self.rate_per_s), self._arrive)
        entry = self.random.choice(self.entries)
        if entry.frozen_until <= self.now:
            # Some requests wait for a permit after the choice.
            self._dispatch(entry, set(), self.now)

    def _dispatch(self, entry, tried, sent_at):
        found = [
            upstream
            for upstream in entry.listed
            if upstream.key not in tried
            and not entry.knows_unavailable(upstream)
        ]
        if not found:
            self.refused += 1
            return
        upstream = self.random.choice(found)
        wait_s = self.random.choice((0.0, 0.0, 0.5, 1.5))
        self.after(
            wait_s, self._send, entry, entry.process, upstream, tried, sent_at
        )

    def _send(self, entry, process, upstream, tried, sent_at):
        if entry.process != process or entry.frozen_until > self.now:
            return
        tried = tried | {upstream.key}
        if self.heeds_at_send and entry.knows_unavailable(upstream):
            self._dispatch(entry, tried, sent_at)
            return
        self._later(self._reach, entry, process, upstream, tried, sent_at)

    def _reach(self, entry, process, upstream, tried, sent_at):
        # The process that has the id and the address now.
        running = next(
            each for each in self.upstreams if each.key[0] == upstream.key[0]
        )
        running.arrivals.append(
            statement_rules.Arrival(sent_at, self.now, entry.name)
        )
        back_off_s = running.back_off_s
        delay_s = 0.0
        if back_off_s is None:
            delay_s = self.random.uniform(*replay.SERVICE_S)
        else:
            running.rejections.append(
                statement_rules.Rejection(self.now, entry.name, back_off_s)
            )
        self.after(
            delay_s, self._answer, entry, process, upstream, tried, sent_at,
            running, back_off_s,
        )  # fmt: skip

    def _answer(self, *args):
        running = args[5]
        self._later(self._get_answer, *args, running.is_leaving)

    def _get_answer(
        self, entry, process, upstream, tried, sent_at, running, back_off_s,
        is_leaving,
    ):  # fmt: skip
        if entry.process != process:
            return
        if entry.frozen_until > self.now:
            self.at(
                entry.frozen_until, self._get_answer, entry, process,
                upstream, tried, sent_at, running, back_off_s, is_leaving,
            )  # fmt: skip
            return
        if is_leaving:
            running.told.append(statement_rules.Told(self.now, entry.name))
            leave = availability.Leave(self.now, entry.name)
            if entry.table.record_leave(upstream.key, leave):
                entry.leave_gossip.announce(upstream.key)
        if back_off_s is not None:
            entry.table.record_back_off(upstream.key, back_off_s, self.now)
            self._dispatch(entry, tried, sent_at)
        elif self.random.random() < replay.FAILURE_SHARE:
            self._dispatch(entry, tried, sent_at)
        else:
            self.served += 1


def _make_excuse(spans):
    def is_excused(entry, begin, end):
        return any(
            since <= end and begin <= until + 0.1
            for since, until in spans[entry]
        )

    return is_excused


class IgnoringTable(availability.AvailabilityTable):
    """Ignores all statements."""

    def wait_s(self, key, now):
        return 0.0


class TimerTable(availability.AvailabilityTable):
    """Ends a leave after 30 s."""

    def wait_s(self, key, now):
        leave = self.find_leave(key)
        if leave is not None and now - leave.stated_at < 30:
            return math.inf
        return self.back_off_s(key, now)
