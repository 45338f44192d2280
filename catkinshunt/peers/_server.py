"""RPC server for other processes of the deployment."""

import asyncio
import hmac
import socket
import weakref

import grpclib
from grpclib import events
from grpclib import server as grpclib_server

from catkinshunt import base
from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.peers import _loop

#: Metadata key that carries the deployment's key.
KEY_METADATA = 'catkinshunt-key-bin'
#: Time for calls in progress to finish when the server is stopped.
DRAIN_S = 5.0
_log = logs.get_logger('peers')


class PeerServer(base.BaseService):
    """Serves grpclib handlers to peers that present the deployment's key.

    Args:
        handlers: instances of generated grpclib service classes; their
            methods run in the loop and use `run_blocking` for blocking
            functions.
        host: address to listen on.
        port: port to listen on; 0 selects a free one, set by `start`.
        key: the deployment's key; calls without it are rejected.
        loop: `LoopThread` to run in; None creates one.
        drain_s: seconds for calls in progress to finish on `stop`.
    """

    def __init__(self, handlers, host, port, key, loop=None, drain_s=DRAIN_S):
        self.handlers = handlers
        self.host = host
        self.port = port
        self.key = key
        self.loop = loop
        self.drain_s = drain_s
        self._own_loop = None
        self._server = None

    def __repr__(self):
        # Excludes the key, which must not be logged.
        return f'PeerServer(host={self.host!r}, port={self.port!r})'

    def start(self):
        """Start listening.

        Raises:
            errors.PeerUnavailableError: the address cannot be bound.
        """
        if self.loop is None:
            self._own_loop = self.loop = _loop.LoopThread().start()
        try:
            self.loop.submit(self._listen()).result()
        except OSError as exc:
            raise errors.PeerUnavailableError(
                f'cannot listen: {exc}',
                step='listen',
                peer=f'{self.host}:{self.port}',
            ) from exc
        return self

    def stop(self):
        """Reject new calls, drain those in progress, then close."""
        if self._server is None:
            return
        self.loop.submit(self._close()).result()
        self._server = None
        if self._own_loop is not None:
            self._own_loop.stop()
            self._own_loop = self.loop = None

    async def _listen(self):
        self._calls = 0
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        server = _Server(list(self.handlers))
        events.listen(server, events.RecvRequest, self._on_request)
        sock = socket.create_server((self.host, self.port))
        self.port = sock.getsockname()[1]
        await server.start(sock=sock)
        self._server = server

    async def _close(self):
        self._draining = True
        try:
            await asyncio.wait_for(self._idle.wait(), self.drain_s)
        except asyncio.TimeoutError:
            _log.warning('Aborted calls in progress after {}s.', self.drain_s)
        self._server.close()
        self._server.close_connections()
        await self._server.wait_closed()

    async def _on_request(self, event):
        presented_key = event.metadata.get(KEY_METADATA, b'')
        # Constant-time comparison prevents a timing attack that would
        # recover the key byte by byte.
        if not hmac.compare_digest(presented_key, self.key.encode()):
            _log.warning('Rejected a call without a valid key.')
            raise grpclib.GRPCError(grpclib.Status.UNAUTHENTICATED, 'key')
        if self._draining:
            raise grpclib.GRPCError(grpclib.Status.UNAVAILABLE, 'leaving')
        method = event.method_func

        async def count_call(stream):
            await self._run(method, stream)

        event.method_func = count_call

    async def _run(self, method, stream):
        self._calls += 1
        self._idle.clear()
        try:
            await method(stream)
        except errors.CatkinshuntError as exc:
            raise grpclib.GRPCError(
                grpclib.Status.FAILED_PRECONDITION, str(exc)
            ) from exc
        finally:
            self._calls -= 1
            if self._calls == 0:
                self._idle.set()


class _Server(grpclib_server.Server):
    """A server that also closes its accepted connections.

    grpclib leaves them open: peers would send further calls on a connection
    that is no longer read, and each would time out instead of failing at
    once.
    """

    def __init__(self, handlers):
        super().__init__(handlers)
        self._accepted = weakref.WeakSet()

    def _protocol_factory(self):
        protocol = super()._protocol_factory()
        self._accepted.add(protocol)
        return protocol

    def close_connections(self):
        """Close all accepted connections after flushing their output."""
        for protocol in list(self._accepted):
            if hasattr(protocol, 'processor'):
                protocol.processor.close('server closed')
