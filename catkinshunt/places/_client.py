"""The entry's side of places: asks sidecars, one datagram each."""

import asyncio
import itertools

import attrs

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.places import _ledger
from catkinshunt.places import _messages

#: Seconds after which an ask without any reply is sent again, and then taken
#: as unanswered. On a link that is full of chunks a datagram takes up to
#: 0.05 s each way.
REPLY_TIMEOUT_S = 0.08
#: Times that an ask is sent.
MAX_SENDS = 2
#: Seconds beyond its own wait after which a queued ask is given up; its
#: reply must have been lost.
LOST_S = 0.15
#: Seconds for which a sidecar that gave no answer is not asked, at first and
#: at most. Its engine gets requests without asking meanwhile.
FIRST_SILENCE_S = 1.0
MOST_SILENCE_S = 8.0

_log = logs.get_logger('places')


class NoPermitError(errors.OverloadedError):
    """Not run: no engine has a place for it in time."""


class ReloadingError(errors.OverloadedError):
    """Not run: the engines are about to load another version."""


@attrs.define(eq=False)
class PermitHandle:
    """One ask on its way, and the place that it may get.

    It is on its way from `first_reply` on, and must be ended by `end`, which
    gives back what it got.

    Attributes:
        ask: the `PermitRequest`.
        reply: the newest reply; None while there is none.
    """

    _client: object
    _host: str
    request: _messages.PermitRequest
    reply: object = None
    _replies: asyncio.Queue = attrs.field(factory=asyncio.Queue)

    async def first_reply(self):
        """Send the ask; return the first reply, or None where none comes."""
        self._client.begin(self)
        for _ in range(MAX_SENDS):
            self._client.send(self._host, self.request)
            if await self._next_reply(REPLY_TIMEOUT_S) is not None:
                break
        self._client.note_answer(self._host, self.reply is not None)
        return self.reply

    async def final_reply(self):
        """Return what a `PermitQueued` ask got: `PermitGranted` or `PermitRejected`."""
        longest_s = max(self.request.wait_s, _ledger.LATE_MAX_WAIT_S) + LOST_S
        while isinstance(self.reply, _messages.PermitQueued):
            if await self._next_reply(longest_s) is None:
                return _messages.PermitRejected(
                    self.request.number, _ledger.NO_ROOM, _ledger.LEAST_RETRY_S
                )
        return self.reply

    async def _next_reply(self, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                self.reply = await self._replies.get()
        except TimeoutError:
            return None
        return self.reply

    def receive(self, reply):
        """Take a reply of the sidecar."""
        self._replies.put_nowait(reply)

    def end(self):
        """Give the place back, or no longer want one."""
        self._client.end(self)
        # What was refused is not known there any more.
        if not isinstance(self.reply, _messages.PermitRejected):
            self._client.send(
                self._host, _messages.PermitRelease(self.request.number)
            )


@attrs.define
class _Silence:
    """How long a sidecar that gave no answer is left alone."""

    until: float
    pause_s: float


class PermitClient(asyncio.DatagramProtocol):
    """Asks the sidecars of engines for places.

    Args:
        port: port of all sidecars.
        clock: gives seconds on the steady clock.
        random: source of random numbers, for the first number.
    """

    def __init__(self, port, clock, random):
        self.port = port
        self.clock = clock
        # After a restart numbers must not meet those of before.
        self._numbers = itertools.count(random.randrange(2**40))
        self._transport = None
        self._asking = {}
        self._silent = {}

    async def start(self, host):
        """Send from the address `host`; returns self."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self.port)
        )
        return self

    def stop(self):
        """Ask nobody any more."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    @property
    def is_started(self):
        """Whether there are sidecars to be asked."""
        return self._transport is not None

    def is_responsive(self, host):
        """Return whether the sidecar on `host` is likely to answer."""
        silence = self._silent.get(host)
        return silence is None or self.clock() >= silence.until

    def request(self, host, make_request):
        """Return a new `PermitHandle`.

        Args:
            host: address of the engine and its sidecar.
            make_request: function of the number that returns the `PermitRequest`.
        """
        return PermitHandle(self, host, make_request(next(self._numbers)))

    def send(self, host, message):
        """Send one message to the sidecar on `host`."""
        if self._transport is not None:
            data = _messages.dump(message)
            self._transport.sendto(data, (host, self.port))

    def datagram_received(self, data, addr):
        """Take one message of a sidecar."""
        try:
            message = _messages.load(data)
        except _messages.DecodeError as exc:
            _log.warning('Left aside a datagram of {}: {}.', addr, exc)
            return
        asking = self._asking.get(message.number)
        if asking is not None:
            asking.receive(message)
        elif isinstance(message, _messages.PermitGranted):
            # The request has ended or gone elsewhere.
            self.send(addr[0], _messages.PermitRelease(message.number))

    def begin(self, asking):
        """Hear replies to an ask from now on."""
        self._asking[asking.request.number] = asking

    def end(self, asking):
        """Hear no more replies to an ask."""
        self._asking.pop(asking.request.number, None)

    def note_answer(self, host, came):
        """Note whether the sidecar on `host` answered."""
        before = self._silent.pop(host, None)
        if came:
            if before is not None:
                _log.info('The sidecar on {} answers again.', host)
            return
        if before is None:
            pause_s = FIRST_SILENCE_S
            _log.warning('The sidecar on {} gives no answer.', host)
        else:
            pause_s = min(2 * before.pause_s, MOST_SILENCE_S)
        self._silent[host] = _Silence(self.clock() + pause_s, pause_s)
