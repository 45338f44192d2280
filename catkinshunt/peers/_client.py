"""RPC client for other processes of the deployment."""

import asyncio
import threading

import grpclib
from grpclib import client as grpclib_client
from grpclib import exceptions

from catkinshunt import errors
from catkinshunt.peers import _server

TIMEOUT_S = 2.0

_ERRORS = {
    grpclib.Status.UNAUTHENTICATED: errors.PeerUnauthenticatedError,
    grpclib.Status.UNAVAILABLE: errors.PeerUnavailableError,
    grpclib.Status.DEADLINE_EXCEEDED: errors.PeerTimeoutError,
}


class PeerClient:
    """Calls one peer over one persistent connection.

    Args:
        address: `httpio.Address` of the peer's control port.
        key: the deployment's key.
        loop: running `LoopThread`.
        timeout_s: default timeout of a call, in seconds.
    """

    def __init__(self, address, key, loop, timeout_s=TIMEOUT_S):
        self.address = address
        self.key = key
        self.loop = loop
        self.timeout_s = timeout_s
        self.in_flight = 0
        self._channel = None
        self._lock = threading.Lock()

    def __repr__(self):
        return f'PeerClient(address={self.address!r})'

    def call(self, stub_class, method, message, timeout_s=None):
        """Send `message` to a unary method.

        Args:
            stub_class: generated grpclib stub of the service.
            method: name of the method.
            message: its protobuf message.
            timeout_s: timeout of the call, in seconds.

        Returns:
            A `concurrent.futures.Future` of the reply. A failed call sets
            an `errors.PeerError` that names the method and the peer.
        """
        timeout_s = timeout_s or self.timeout_s
        with self._lock:
            self.in_flight += 1
        try:
            fut = self.loop.submit(
                self._call(stub_class, method, message, timeout_s)
            )
        except RuntimeError as exc:
            self._decrement_in_flight()
            raise self._make_error(
                errors.PeerUnavailableError, method, str(exc)
            ) from exc
        fut.add_done_callback(self._decrement_in_flight)
        return fut

    def close(self):
        """Close the connection; calls in progress on it fail."""
        if self._channel is not None:
            self.loop.submit(self._close()).result()

    async def _call(self, stub_class, method, message, timeout_s):
        try:
            # This timeout includes connecting, which would take minutes if
            # the host drops packets.
            async with asyncio.timeout(timeout_s):
                stub = stub_class(self._get_channel())
                return await getattr(stub, method)(
                    message,
                    timeout=timeout_s,
                    metadata={_server.KEY_METADATA: self.key.encode()},
                )
        except grpclib.GRPCError as exc:
            kind = _ERRORS.get(exc.status, errors.PeerError)
            raise self._make_error(kind, method, exc.message) from exc
        except TimeoutError as exc:
            text = f'no reply within {timeout_s}s'
            raise self._make_error(
                errors.PeerTimeoutError, method, text
            ) from exc
        except (OSError, exceptions.StreamTerminatedError) as exc:
            text = f'connection failed: {exc}'
            kind = errors.PeerUnavailableError
            raise self._make_error(kind, method, text) from exc

    def _decrement_in_flight(self, _fut=None):
        with self._lock:
            self.in_flight -= 1

    def _get_channel(self):
        if self._channel is None:
            self._channel = grpclib_client.Channel(
                self.address.host, self.address.port
            )
        return self._channel

    async def _close(self):
        channel, self._channel = self._channel, None
        if channel is not None:
            channel.close()

    def _make_error(self, kind, method, text):
        return kind(text or 'failed', step=method, peer=str(self.address))
