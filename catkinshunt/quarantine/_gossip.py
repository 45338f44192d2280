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
REMIND_S = 1.0
#: Requests that one reminder names at most.
REMINDED = 16

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

    def __init__(self, quarantine, live_entries, name, port, wall, random):
        self.quarantine = quarantine
        self.live_entries = live_entries
        self.name = name
        self.port = port
        self.wall = wall
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
            await asyncio.sleep(REMIND_S)
            now = self.wall()
            self.quarantine.forget(now)
            barred = self.quarantine.all_quarantined(now)
            hosts = self._others()
            if not barred or not hosts:
                continue
            host = self.random.choice(hosts)
            count = min(REMINDED, len(barred))
            for request, left_s in self.random.sample(barred, count):
                self._send(_messages.Quarantined(request, left_s), host)

    def report_crash(self, crash, requests):
        """Note the requests that a crashed upstream had, and tell others."""
        fresh = self.quarantine.note_crash(crash, requests, self.wall())
        step = _messages.MOST_REQUESTS
        for begin in range(0, len(fresh), step):
            part = tuple(fresh[begin : begin + step])
            self._tell(_messages.CrashReport(crash, part))
        if fresh:
            self._judge_later()

    def report_completion(self, request):
        """Note that a request ran to its end; tell if it was suspected."""
        if self.quarantine.note_completion(request):
            self._tell(_messages.Completion(request))
            self._judge_later()

    def add(self, request, for_s):
        """Bar a request; tell others where that is news."""
        if self.quarantine.add(request, for_s, self.wall()):
            self._tell(_messages.Quarantined(request, for_s))

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
            self.add(message.request, left_s)

    def _judge_later(self):
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_quarantine.SETTLE_S, self._judge)

    def _judge(self):
        self._timer = None
        for request in self.quarantine.judge(self.wall()):
            self._tell(
                _messages.Quarantined(request, _quarantine.QUARANTINE_S)
            )
        if self.quarantine.is_undecided(self.wall()):
            self._judge_later()

    def _tell(self, message):
        hosts = self._others()
        for host in self.random.sample(hosts, min(FANOUT, len(hosts))):
            self._send(message, host)

    def _send(self, message, host):
        if self._transport is not None:
            self._transport.sendto(_messages.dump(message), (host, self.port))

    def _others(self):
        homes = self.live_entries.locations()
        return [home.host for name, home in homes.items() if name != self.name]
