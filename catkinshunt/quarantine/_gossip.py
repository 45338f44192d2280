"""Gossip between entries about requests that crash upstreams."""

import asyncio

from catkinshunt import gossip
from catkinshunt import logs
from catkinshunt.quarantine import _messages
from catkinshunt.quarantine import _quarantine

#: Interval in seconds of the reminders, each to one random entry. They reach
#: entries that have restarted or were unreachable.
REMINDER_PERIOD_S = 1.0
#: Most quarantined requests in one reminder.
MAX_REMINDER_REQUESTS = 16

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
    """

    def __init__(self, quarantine, live_entries, name, port, clock, random):
        super().__init__(
            _messages.CODEC, _log, live_entries, name, port, random
        )
        self.quarantine = quarantine
        self.clock = clock
        self._timer = None

    def stop(self):
        """Stop sending and receiving."""
        if self._timer is not None:
            self._timer.cancel()
        super().stop()

    async def run(self):
        """Send reminders of quarantined requests until cancelled."""
        while True:
            await asyncio.sleep(REMINDER_PERIOD_S)
            now = self.clock()
            self.quarantine.expire(now)
            quarantined = self.quarantine.all_quarantined(now)
            hosts = self._other_hosts()
            if not quarantined or not hosts:
                continue
            host = self.random.choice(hosts)
            count = min(MAX_REMINDER_REQUESTS, len(quarantined))
            for request, left_s in self.random.sample(quarantined, count):
                self._send(_messages.Quarantined(request, left_s), host)

    def report_crash(self, crash, requests):
        """Record the requests of a crashed upstream, and forward new ones.

        Reports come from this entry or from a datagram.
        """
        new = self.quarantine.record_crash(crash, requests, self.clock())
        step = _messages.MAX_REQUESTS
        for begin in range(0, len(new), step):
            part = tuple(new[begin : begin + step])
            self._fan_out(_messages.CrashReport(crash, part))
        if new:
            self._schedule_evaluation()

    def report_completion(self, request):
        """Clear a completed request; forward that if it was suspected."""
        if self.quarantine.record_completion(request):
            self._fan_out(_messages.Completion(request))
            self._schedule_evaluation()

    def report_quarantine(self, request, for_s):
        """Quarantine a request; forward that if it is new."""
        if self.quarantine.add(request, for_s, self.clock()):
            self._fan_out(_messages.Quarantined(request, for_s))

    def receive(self, message, host):
        """See `gossip.BaseGossip.receive`."""
        if isinstance(message, _messages.CrashReport):
            self.report_crash(message.crash, message.requests)
        elif isinstance(message, _messages.Completion):
            self.report_completion(message.request)
        else:
            left_s = min(message.left_s, _quarantine.QUARANTINE_S)
            self.report_quarantine(message.request, left_s)

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
