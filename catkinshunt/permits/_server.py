"""Datagram server that answers permit requests at a sidecar."""

import asyncio

from catkinshunt import logs
from catkinshunt.permits import _messages
from catkinshunt.permits import base

#: The logger name is part of the log output and stays fixed.
_log = logs.get_logger('places')


class PermitServer(asyncio.DatagramProtocol, base.BasePermitAdmission):
    """Passes permit requests of entries to an allocator and sends its replies.

    Args:
        allocator: `PermitAllocator`.
        clock: function that returns seconds, for all times of the allocator.
            If the clock includes suspends, versions also expire during one.
    """

    def __init__(self, allocator, clock):
        self.allocator = allocator
        self.clock = clock
        self._transport = None
        self._timer = None

    async def start(self, host, port):
        """Listen on an address; return self."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        return self

    def stop(self):
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data, addr):
        """Handle one message of an entry."""
        now = self.clock()
        try:
            message = _messages.load(data)
        except _messages.DecodeError as exc:
            _log.warning(
                'Ignored a malformed permit message from {}: {}.', addr, exc
            )
            return
        if isinstance(message, _messages.PermitRequest):
            self._send(self.allocator.request(addr, message, now))
        elif isinstance(message, _messages.PermitRelease):
            self._send(self.allocator.release(addr, message.number, now))

    def reconcile(self, present):
        """See `base.BasePermitAdmission.reconcile`."""
        self._send(self.allocator.reconcile(present, self.clock()))

    def schedule_reload(self, closes_in_s, opens_in_s):
        """See `base.BasePermitAdmission.schedule_reload`."""
        now = self.clock()
        self.allocator.schedule_reload(now + closes_in_s, now + opens_in_s)

    def end_reload(self):
        """See `base.BasePermitAdmission.end_reload`."""
        self._send(self.allocator.end_reload(self.clock()))

    def begin_leaving(self, started_at_ms):
        """See `base.BasePermitAdmission.begin_leaving`."""
        self._send(self.allocator.begin_leaving(started_at_ms))

    def end_leaving(self):
        """See `base.BasePermitAdmission.end_leaving`."""
        self.allocator.end_leaving()

    def set_expiry(self, expires_in_s):
        """See `base.BasePermitAdmission.set_expiry`."""
        self.allocator.set_expiry(self.clock() + expires_in_s)

    def _send(self, replies):
        for peer, message in replies:
            self._transport.sendto(_messages.dump(message), peer)
        self._set_timer()

    def _set_timer(self):
        at = self.allocator.next_due_at()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if at is not None:
            loop = asyncio.get_running_loop()
            delay_s = max(0.0, at - self.clock())
            self._timer = loop.call_later(delay_s, self._run_due)

    def _run_due(self):
        self._timer = None
        self._send(self.allocator.run_due(self.clock()))
