"""Serves control calls of other processes of the system."""

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

#: Metadata key under which a peer shows the deployment's key.
KEY_METADATA = 'catkinshunt-key-bin'
#: Seconds that calls in progress get when the server is stopped.
DRAIN_S = 5.0
_log = logs.get_logger('peers')


class PeerServer(base.BaseService):
    """Hosts grpclib handlers behind the deployment's key.

    Args:
        handlers: instances of generated grpclib service classes; their
            methods run in the loop and give blocking work to
            `run_blocking`.
        host: address to listen on.
        port: port to listen on; 0 takes a free one, set when started.
        key: the deployment's key; peers without it are refused.
        loop: `LoopThread` to run in; None makes one of its own.
        drain_s: seconds that calls in progress get when stopped.
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
        # The key must not reach a log through repr.
        return f'PeerServer(host={self.host!r}, port={self.port!r})'

    def start(self):
        """Listen.

        Raises:
            errors.PeerUnavailableError: the address cannot be listened on.
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
        """Take no new call, finish those in progress, then close."""
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
            _log.warning('calls in progress were cut after {}s', self.drain_s)
        self._server.close()
        self._server.close_connections()
        await self._server.wait_closed()

    async def _on_request(self, event):
        presented_key = event.metadata.get(KEY_METADATA, b'')
        # The comparison takes the same time wherever the keys differ, so
        # that a key cannot be found out one character after the other.
        if not hmac.compare_digest(presented_key, self.key.encode()):
            _log.warning('refused a call without the key')
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
    """A server that also closes the connections it has accepted.

    grpclib leaves them open. A peer would go on sending calls into a
    connection that nobody reads, and each would run into its deadline
    instead of failing at once.
    """

    def __init__(self, handlers):
        super().__init__(handlers)
        self._accepted = weakref.WeakSet()

    def _protocol_factory(self):
        protocol = super()._protocol_factory()
        self._accepted.add(protocol)
        return protocol

    def close_connections(self):
        """Close all accepted connections once their output is flushed."""
        for protocol in list(self._accepted):
            if hasattr(protocol, 'processor'):
                protocol.processor.close('the server is closed')
