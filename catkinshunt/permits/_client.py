"""Client of an entry that requests permits from sidecars by datagram."""

import asyncio
import itertools

import attrs

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.permits import _allocator
from catkinshunt.permits import _messages
from catkinshunt import retry_schedule

#: Seconds without a reply after which a permit request is sent again or, the
#: last time, the sidecar counts as unresponsive. On a link saturated by chunks
#: of weights a datagram takes up to 0.05 s each way.
REPLY_TIMEOUT_S = 0.08
#: Times that a permit request is sent.
MAX_SENDS = 2
#: Seconds after the end of its wait at which a queued permit request counts as
#: rejected, since the reply must have been lost.
LOST_REPLY_S = 0.15
#: First and longest back-off for an unresponsive sidecar, in seconds. Requests
#: are sent to its engine without permits meanwhile.
INITIAL_BACK_OFF_S = 1.0
MAX_BACK_OFF_S = 8.0

#: The logger name is part of the log output and stays fixed.
_log = logs.get_logger('places')


class NoPermitError(errors.OverloadedError):
    """Not run: no engine granted a permit in time; raised by the gateway."""


class ReloadingError(errors.OverloadedError):
    """Not run: an engine is to load another version or serves an expired one.

    Where several rejected the request, all of them did so for this reason.

    Raised by the gateway.
    """


@attrs.define(eq=False)
class PermitHandle:
    """One permit request and the replies to it.

    It is sent by `send_and_wait` and must be ended by `end`, which releases
    the permit.

    Attributes:
        request: the `PermitRequest`.
        reply: the latest reply; None before the first one.
    """

    _client: object
    _host: str
    request: _messages.PermitRequest
    reply: object = None
    _replies: asyncio.Queue = attrs.field(factory=asyncio.Queue)

    async def send_and_wait(self):
        """Send the request; return the first reply, or None if none arrives.

        The first reply may be `PermitQueued`; see `await_decision`.
        """
        self._client.register(self)
        for _ in range(MAX_SENDS):
            self._client.send(self._host, self.request)
            if await self._next_reply(REPLY_TIMEOUT_S) is not None:
                break
        self._client.record_outcome(self._host, self.reply is not None)
        return self.reply

    async def await_decision(self):
        """Return `PermitGranted` or `PermitRejected` for a queued request."""
        timeout_s = (
            max(self.request.wait_s, _allocator.LATE_MAX_WAIT_S) + LOST_REPLY_S
        )
        while isinstance(self.reply, _messages.PermitQueued):
            if await self._next_reply(timeout_s) is None:
                return _messages.PermitRejected(
                    self.request.number,
                    _allocator.NO_ROOM,
                    retry_schedule.MIN_RETRY_AFTER_S,
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
        """Record a reply of the sidecar."""
        self._replies.put_nowait(reply)

    def end(self):
        """Release the permit, or withdraw the request for it."""
        self._client.unregister(self)
        # The sidecar keeps no state of rejected requests.
        if not isinstance(self.reply, _messages.PermitRejected):
            self._client.send(
                self._host, _messages.PermitRelease(self.request.number)
            )


@attrs.define
class _BackOff:
    """Back-off for an unresponsive sidecar."""

    until: float
    pause_s: float


class PermitClient(asyncio.DatagramProtocol):
    """Requests permits from the sidecars of engines.

    Args:
        port: port of all sidecars. The client binds the same port, on the
            address of the entry.
        clock: function that returns seconds on the monotonic clock.
        random: source of the first request number.
    """

    def __init__(self, port, clock, random):
        self.port = port
        self.clock = clock
        # Numbers from before a restart must not be reused.
        self._numbers = itertools.count(random.randrange(2**40))
        self._transport = None
        self._handles = {}
        self._back_offs = {}
        self._probes = {}

    async def start(self, host):
        """Open the socket on address `host`; return self."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self.port)
        )
        return self

    def stop(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    @property
    def is_started(self):
        """Whether the socket is open."""
        return self._transport is not None

    def is_responsive(self, host):
        """Return whether the sidecar on `host` is not in back-off."""
        back_off = self._back_offs.get(host)
        return back_off is None or self.clock() >= back_off.until

    def make_handle(self, host, make_request):
        """Return the `PermitHandle` of a new request, which is not sent yet.

        Args:
            host: address of the engine and its sidecar.
            make_request: function of the number that returns the request.
        """
        return PermitHandle(self, host, make_request(next(self._numbers)))

    async def probe(self, host, slots):
        """Return whether the sidecar on `host` replies.

        Args:
            host: address of the engine and its sidecar.
            slots: requests that the engine processes concurrently.
        """
        task = self._probes.get(host)
        if task is None:
            task = asyncio.ensure_future(self._probe(host, slots))
            self._probes[host] = task
            task.add_done_callback(lambda _: self._probes.pop(host, None))
        return await asyncio.shield(task)

    async def _probe(self, host, slots):
        # A late request gets only a permit that no other one needs, and it
        # is released at once.
        handle = self.make_handle(
            host,
            lambda number: _messages.PermitRequest(
                number, 0.0, 0.0, 0.0, slots, no_wait=True, late=True
            ),
        )
        try:
            return await handle.send_and_wait() is not None
        finally:
            handle.end()

    def send(self, host, message):
        """Send a message to the sidecar on `host`."""
        if self._transport is not None:
            data = _messages.dump(message)
            self._transport.sendto(data, (host, self.port))

    def datagram_received(self, data, addr):
        """Handle one message of a sidecar."""
        try:
            message = _messages.load(data)
        except _messages.DecodeError as exc:
            _log.warning(
                'Ignored a malformed permit message from {}: {}.', addr, exc
            )
            return
        handle = self._handles.get(message.number)
        if handle is not None:
            handle.receive(message)
        elif isinstance(message, _messages.PermitGranted):
            # The request has ended or was sent to another engine.
            self.send(addr[0], _messages.PermitRelease(message.number))

    def register(self, handle):
        """Pass replies to `handle` from now on."""
        self._handles[handle.request.number] = handle

    def unregister(self, handle):
        """Pass no more replies to `handle`."""
        self._handles.pop(handle.request.number, None)

    def record_outcome(self, host, is_answered):
        """Record whether the sidecar on `host` replied to a request.

        Without a reply it is in back-off; see `is_responsive`.
        """
        previous = self._back_offs.pop(host, None)
        if is_answered:
            if previous is not None:
                _log.info('Sidecar on {} responds again.', host)
            return
        if previous is None:
            pause_s = INITIAL_BACK_OFF_S
            _log.warning(
                'Sidecar on {} does not respond; '
                'requests may be sent to its engine without permits.',
                host,
            )
        else:
            pause_s = min(2 * previous.pause_s, MAX_BACK_OFF_S)
        self._back_offs[host] = _BackOff(self.clock() + pause_s, pause_s)
