"""Spreads among entries what is known of requests that crash upstreams."""

import asyncio

from catkinshunt import datagrams
from catkinshunt import logs
from catkinshunt.quarantine import _messages
from catkinshunt.quarantine import _quarantine

#: Entries to which each news is passed on, once by each entry that hears it.
FANOUT = 4
#: Seconds between two reminders of what is barred, to one entry each, for
#: those that have started or were out of reach.
REMINDER_PERIOD_S = 1.0
#: Requests that one reminder names at most.
MAX_REMINDER_REQUESTS = 16

_log = logs.get_logger('quarantine')


class Gossip(asyncio.DatagramProtocol):
    """Tells other entries the news, and passes theirs on.

    Who hears of something new tells a few others chosen at random, so each
    entry sends as many datagrams as the next one, however many there are.

    Args:
        quarantine: `Quarantine` of this entry.
        roster: `catalog.LiveEntries` with the homes of the entries.
        name: name of this entry.
        port: port of all entries.
        wall: gives seconds on the clock of the quarantine.
        random: source of random numbers.
    """

    def __init__(self, quarantine, live_entries, name, port, clock, random):
        self.quarantine = quarantine
        self.live_entries = live_entries
        self.name = name
        self.port = port
        self.clock = clock
        self.random = random
        self._transport = None
        self._timer = None

    async def start(self, host):
        """Listen on the address `host`; returns self."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self.port)
        )
        return self

    def stop(self):
        """Tell and hear nothing more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def run(self):
        """Remind others of what is barred until cancelled."""
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
        """Note the requests that a crashed upstream had, and tell others."""
        new = self.quarantine.record_crash(crash, requests, self.clock())
        step = _messages.MAX_REQUESTS
        for begin in range(0, len(new), step):
            part = tuple(new[begin : begin + step])
            self._fan_out(_messages.CrashReport(crash, part))
        if new:
            self._schedule_evaluation()

    def report_completion(self, request):
        """Note that a request ran to its end; tell if it was suspected."""
        if self.quarantine.record_completion(request):
            self._fan_out(_messages.Completion(request))
            self._schedule_evaluation()

    def report_quarantine(self, request, for_s):
        """Bar a request; tell others where that is news."""
        if self.quarantine.add(request, for_s, self.clock()):
            self._fan_out(_messages.Quarantined(request, for_s))

    def datagram_received(self, data, addr):
        """Take one message of another entry."""
        try:
            message = _messages.load(data)
        except datagrams.DecodeError as exc:
            _log.warning('Left aside a datagram of {}: {}.', addr, exc)
            return
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
            self._timer = loop.call_later(_quarantine.SETTLE_S, self._evaluate)

    def _evaluate(self):
        self._timer = None
        for request in self.quarantine.evaluate(self.clock()):
            self._fan_out(
                _messages.Quarantined(request, _quarantine.QUARANTINE_S)
            )
        if self.quarantine.has_pending(self.clock()):
            self._schedule_evaluation()

    def _fan_out(self, message):
        hosts = self._other_hosts()
        for host in self.random.sample(hosts, min(FANOUT, len(hosts))):
            self._send(message, host)

    def _send(self, message, host):
        if self._transport is not None:
            self._transport.sendto(_messages.dump(message), (host, self.port))

    def _other_hosts(self):
        locations = self.live_entries.locations()
        return [
            location.host
            for name, location in locations.items()
            if name != self.name
        ]
