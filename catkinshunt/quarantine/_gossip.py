"""Gossip between entries about requests that crash upstreams."""

import asyncio

from catkinshunt import gossip
from catkinshunt import logs
from catkinshunt.quarantine import _messages
from catkinshunt.quarantine import _quarantine

#: Interval in seconds of the reminders, to random entries. They reach entries
#: that have restarted or were unreachable.
REMINDER_PERIOD_S = 1.0
#: Most quarantined requests and most crashes in one reminder.
MAX_REMINDER_REQUESTS = 16
MAX_REMINDER_CRASHES = 4
#: Most crashes that an entry which has started is told. Other entries may
#: stop before the next reminder.
MAX_ANSWER_CRASHES = 16
#: Requests for the state of others after the start, as datagrams can be lost.
STATE_REQUESTS = 3
#: Seconds for which a report may have waited to be read. It is less than
#: `SAME_CRASH_S`, as other entries may date the crash differently too.
MAX_UNREAD_S = 0.8

_log = logs.get_logger('quarantine')


class Gossip(gossip.BaseGossip):
    """Sends updates to other entries, and forwards those that it receives.

    Args:
        quarantine: `Quarantine` of this entry.
        live_entries: `catalog.LiveEntries`, with the addresses to send to.
        name: name of this entry.
        port: gossip port of all entries.
        clock: returns seconds on the clock of the quarantine.
        random: source of random numbers.
        wake_log: `wake_log.WakeLog` on the same clock, or None if the process
            is never suspended.
    """

    def __init__(
        self,
        quarantine,
        live_entries,
        name,
        port,
        clock,
        random,
        wake_log=None,
    ):
        super().__init__(
            _messages.CODEC, _log, live_entries, name, port, random
        )
        self.quarantine = quarantine
        self.clock = clock
        self.wake_log = wake_log
        self._timer = None
        # Whether reports were dropped since the latest request for them.
        self._must_ask = False

    def stop(self):
        """Stop sending and receiving."""
        if self._timer is not None:
            self._timer.cancel()
        super().stop()

    async def run(self):
        """Send reminders of requests that must not run until cancelled."""
        while True:
            await asyncio.sleep(REMINDER_PERIOD_S)
            now = self.clock()
            self.quarantine.expire(now)
            if self._must_ask and not self._may_be_late(now):
                self._must_ask = False
                self._fan_out(_messages.StateRequest())
            if not self.quarantine.is_idle:
                self._remind_of_quarantined(now)
                self._remind_of_crashes(now)

    async def request_state(self):
        """Ask other entries what they know; call it once after the start."""
        for _ in range(STATE_REQUESTS):
            while not self._other_hosts():
                await self.live_entries.wait_for_change()
            self._fan_out(_messages.StateRequest())
            await asyncio.sleep(REMINDER_PERIOD_S)

    def _remind_of_quarantined(self, now):
        for host in self._random_hosts(1):
            self._send_quarantined(host, now)

    def _remind_of_crashes(self, now):
        """Send crashes that are not resolved.

        They go to several entries, as a suspect has to be stopped soon by
        those that have missed a report too.
        """
        crashes = self.quarantine.unresolved_crashes()
        count = min(MAX_REMINDER_CRASHES, len(crashes))
        for crash, run_s in self.random.sample(crashes, count):
            for reminder in _split(crash, run_s, now):
                self._fan_out(reminder)

    def _send_state(self, host, now):
        """Send the quarantined requests, the latest crashes and trials."""
        self._send_quarantined(host, now)
        crashes = self.quarantine.unresolved_crashes(min_crashes=1)
        for crash, run_s in crashes[-MAX_ANSWER_CRASHES:]:
            for report in _split(crash, run_s, now):
                self._send(report, host)
        for request, parts in self.quarantine.running_trials(now).items():
            self._send(_messages.Trial(request, tuple(parts)), host)

    def _send_quarantined(self, host, now):
        quarantined = self.quarantine.all_quarantined(now)
        count = min(MAX_REMINDER_REQUESTS, len(quarantined))
        for request, left_s in self.random.sample(quarantined, count):
            self._send(_messages.Quarantined(request, left_s), host)

    def report_crash(
        self, upstream, run_s, service_size, ago_s=0.0, parts=None
    ):
        """Record the requests of a crashed upstream, and forward new ones.

        Reports come from this entry or from a datagram.

        Args:
            upstream: identifier of the upstream.
            run_s: seconds from when each request was sent to the crash, by
                fingerprint.
            service_size: number of upstreams of its service.
            ago_s: seconds since the crash.
            parts: fingerprints of the parts of each request that has some,
                by fingerprint of the request.
        """
        now = self.clock()
        new = self.quarantine.record_crash(
            upstream, run_s, service_size, now - ago_s, now, parts
        )
        for report in _messages.split_crash_report(
            upstream, new, service_size, ago_s, parts
        ):
            self._fan_out(report)
        if new:
            self._schedule_evaluation()

    def report_completion(self, request):
        """Clear a completed request; forward that if it was suspected."""
        self.report_completions((request,))

    def report_completions(self, traits):
        """Clear the traits of a completed request; forward suspected ones."""
        record = self.quarantine.record_completion
        cleared = tuple(trait for trait in traits if record(trait))
        if cleared:
            self._fan_out(_complete(cleared))
            self._schedule_evaluation()

    def report_trial(self, request, parts):
        """Let a request run on trial of its parts; forward that if new."""
        if self.quarantine.begin_trial(request, parts, self.clock()):
            self._fan_out(_messages.Trial(request, tuple(parts)))

    def report_quarantine(self, request, for_s):
        """Quarantine a request; forward that if it is new."""
        if self.quarantine.add(request, for_s, self.clock()):
            self._fan_out(_messages.Quarantined(request, for_s))

    def receive(self, message, host):
        """See `gossip.BaseGossip.receive`."""
        if isinstance(message, _messages.CrashReport):
            self._receive_crash(message, {}, host)
        elif isinstance(message, _messages.PartsCrashReport):
            self._receive_crash(message, message.parts_of, host)
        elif isinstance(message, _messages.Completions):
            self.report_completions(message.traits)
        elif isinstance(message, _messages.Trial):
            self.report_trial(message.request, message.parts)
        elif isinstance(message, _messages.Completion):
            self.report_completion(message.request)
        elif isinstance(message, _messages.StateRequest):
            self._send_state(host, self.clock())
        else:
            left_s = min(message.left_s, _quarantine.QUARANTINE_S)
            self.report_quarantine(message.request, left_s)

    def _may_be_late(self, now):
        """Return whether a report may have waited through a suspend.

        Dated by its reading, it would be taken for another crash.
        """
        if self.wake_log is None:
            return False
        return self.wake_log.longest_gap_s(now) > MAX_UNREAD_S

    def _receive_crash(self, report, parts, host):
        if self._may_be_late(self.clock()):
            self._must_ask = True
            return
        traits = dict.fromkeys(report.requests)
        for found in parts.values():
            traits.update(dict.fromkeys(found))
        self._correct(report, traits, host)
        self.report_crash(
            report.upstream,
            report.run_s,
            report.service_size,
            report.ago_s,
            parts,
        )

    def _correct(self, report, traits, host):
        """Tell an entry which traits in its report have completed since."""
        at = self.clock() - report.ago_s
        cleared = self.quarantine.find_cleared(report.upstream, traits, at)
        for begin in range(0, len(cleared), _messages.MAX_REQUESTS):
            some = cleared[begin : begin + _messages.MAX_REQUESTS]
            self._send(_complete(tuple(some)), host)

    def _schedule_evaluation(self):
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                _quarantine.EVALUATION_DELAY_S, self._evaluate
            )

    def _evaluate(self):
        self._timer = None
        for request in self.quarantine.evaluate(self.clock()):
            self._fan_out(
                _messages.Quarantined(request, _quarantine.QUARANTINE_S)
            )
        if self.quarantine.has_pending(self.clock()):
            self._schedule_evaluation()


def _split(crash, run_s, now):
    """Return the messages on these runs of a `Crash`."""
    parts = {
        request: tuple(part for part in found if part not in crash.cleared)
        for request, found in crash.parts.items()
    }
    return _messages.split_crash_report(
        crash.upstream, run_s, crash.service_size, now - crash.at, parts
    )


def _complete(traits):
    """Return the message on the completion of traits.

    Entries of earlier builds know the one with a single trait.
    """
    if len(traits) == 1:
        return _messages.Completion(traits[0])
    return _messages.Completions(traits)
