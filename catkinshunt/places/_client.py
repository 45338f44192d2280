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
ANSWER_S = 0.08
#: Times that an ask is sent.
SENDS = 2
#: Seconds beyond its own wait after which a queued ask is given up; its
#: reply must have been lost.
LOST_S = 0.15
#: Seconds for which a sidecar that gave no answer is not asked, at first and
#: at most. Its engine gets requests without asking meanwhile.
FIRST_SILENCE_S = 1.0
MOST_SILENCE_S = 8.0

_log = logs.get_logger('places')


class NoPlaceError(errors.OverloadedError):
    """Not run: the engine has no place for it in time."""


class ReloadingError(errors.OverloadedError):
    """Not run: the engine is about to load another version."""


@attrs.define(eq=False)
class Place:
    """A place at an engine that one request holds.

    Attributes:
        number: of the ask that it was granted for.
        held: places there that were taken when it was given.
    """

    _client: object
    _host: str
    number: int
    held: int

    def release(self):
        """Give the place back."""
        self._client.give_back(self._host, self.number)


@attrs.define
class _Silence:
    """How long a sidecar that gave no answer is left alone."""

    until: float
    pause_s: float


class PlaceClient(asyncio.DatagramProtocol):
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
        self._replies = {}
        self._held = set()
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

    def send(self, host, message):
        """Send one message to the sidecar on `host`."""
        if self._transport is not None:
            data = _messages.dump(message)
            self._transport.sendto(data, (host, self.port))

    def datagram_received(self, data, addr):
        """Take one message of a sidecar."""
        try:
            message = _messages.load(data)
        except _messages.UnreadableError as exc:
            _log.warning('Left aside a datagram of {}: {}.', addr, exc)
            return
        replies = self._replies.get(message.number)
        if replies is not None:
            replies.put_nowait(message)
        elif isinstance(message, _messages.Granted):
            self._decline(message, addr[0])

    def _decline(self, granted, host):
        """Give back a place whose request has ended or gone elsewhere."""
        if granted.number not in self._held:
            self.send(host, _messages.Done(granted.number))

    def give_back(self, host, number):
        """Give back the place that the sidecar on `host` granted."""
        self._held.discard(number)
        self.send(host, _messages.Done(number))

    async def take(self, host, make_ask):
        """Return a `Place`, or None where the sidecar gives no answer.

        Args:
            host: address of the engine and its sidecar.
            make_ask: function of the number that returns the `Ask`.

        Raises:
            NoPlaceError: there is no place in time.
            ReloadingError: the engine is about to load another version.
        """
        if self._transport is None or self._is_silent(host):
            return None
        ask = make_ask(next(self._numbers))
        self._replies[ask.number] = asyncio.Queue()
        reply = None
        try:
            reply = await self._exchange(host, ask)
        finally:
            del self._replies[ask.number]
            if not isinstance(reply, _messages.Refused | _messages.Granted):
                self.send(host, _messages.Done(ask.number))
        if reply is None:
            self._note_silence(host)
            return None
        self._silent.pop(host, None)
        if isinstance(reply, _messages.Granted):
            self._held.add(ask.number)
            return Place(self, host, ask.number, reply.held)
        raise _refusal(reply, host)

    async def _exchange(self, host, ask):
        """Return the last reply to `ask`, or None."""
        for _ in range(SENDS):
            self.send(host, ask)
            reply = await self._next_reply(ask.number, ANSWER_S)
            if reply is not None:
                break
        if not isinstance(reply, _messages.Queued):
            return reply
        longest_s = max(ask.wait_s, _ledger.LATE_WAIT_S) + LOST_S
        while isinstance(reply, _messages.Queued):
            reply = await self._next_reply(ask.number, longest_s)
        return reply or _messages.Refused(
            ask.number, _ledger.NO_ROOM, _ledger.LEAST_RETRY_S
        )

    async def _next_reply(self, number, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                return await self._replies[number].get()
        except TimeoutError:
            return None

    def _is_silent(self, host):
        silence = self._silent.get(host)
        return silence is not None and self.clock() < silence.until

    def _note_silence(self, host):
        before = self._silent.get(host)
        if before is None:
            pause_s = FIRST_SILENCE_S
            _log.warning('The sidecar on {} gives no answer.', host)
        else:
            pause_s = min(2 * before.pause_s, MOST_SILENCE_S)
        self._silent[host] = _Silence(self.clock() + pause_s, pause_s)


def _refusal(reply, host):
    """Return the error for a `Refused`."""
    if reply.reason == _ledger.RELOADING:
        cls = ReloadingError
    else:
        cls = NoPlaceError
    return cls(
        f'the sidecar refused a place: {reply.reason}',
        step='take-place',
        peer=host,
        retry_after_s=reply.retry_s,
    )
