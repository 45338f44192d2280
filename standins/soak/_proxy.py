"""A loopback proxy that harms the connections that pass through it."""

import asyncio
import contextlib
import socket
import struct

_READ_BYTES = 64 * 1024
#: Seconds by which bytes are held up while a link is slow.
DELAY_S = 0.15
#: Values of SO_LINGER: on with 0 s, with which a close is a reset, and off.
RESET, ORDERLY = struct.pack('ii', 1, 0), struct.pack('ii', 0, 0)
FAULTS = ('slow', 'reset', 'silent', 'one_way', 'refuse')


class Proxy:
    """Forwards connections to one address.

    Attributes:
        name: what stands behind it.
        place: address that it listens on.
        fault: None, or one of `FAULTS`. With ``'one_way'`` bytes towards
            the target pass and those back are held until it ends.
        resets: whether connections that break off are reset. Otherwise they
            are closed in order, which ends a reply without a length.
    """

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.name = ''
        self.place = ''
        self.resets = False
        self._fault = None
        self._healed = asyncio.Event()
        self._healed.set()
        self._writers = set()
        self._server = None

    async def start(self, host, port):
        """Listen on an address; returns self."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self

    def stop(self):
        """End all connections and refuse further ones."""
        self._server.close()
        self._abort()

    def _abort(self):
        for writer in list(self._writers):
            self._break_off(writer)

    def _break_off(self, writer):
        if self.resets:
            reset_on_close(writer.transport, True)
        writer.transport.abort()

    @property
    def fault(self):
        """The fault in force, or None."""
        return self._fault

    @fault.setter
    def fault(self, fault):
        self._fault = fault
        if fault is None:
            self._healed.set()
        else:
            self._healed.clear()
        if fault in ('reset', 'refuse'):
            self._abort()

    async def _serve(self, reader, writer):
        if self._fault == 'refuse':
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, back=False),
                self._pump(far_reader, writer, back=True),
            )
        finally:
            self._writers -= both
            for each in both:
                each.close()

    async def _read(self, reader, writer):
        try:
            return await reader.read(_READ_BYTES)
        except ConnectionResetError:
            self._break_off(writer)
            raise

    async def _pump(self, reader, writer, back):
        with contextlib.suppress(OSError):
            while data := await self._read(reader, writer):
                if self._fault == 'slow':
                    await asyncio.sleep(DELAY_S)
                if self._fault == 'silent' or (
                    back and self._fault == 'one_way'
                ):
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


def reset_on_close(transport, resets):
    """Choose whether the close of a connection is a reset."""
    sock = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        option = RESET if resets else ORDERLY
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
