"""Buffer into which the connections of an event loop read."""

import asyncio
import threading

#: Most bytes of one read.
READ_BYTES = 64 * 1024

_local = threading.local()


class BufferedReader(asyncio.BufferedProtocol):
    """Passes what was read to `data_received`, without a copy.

    Reads of all connections of a thread share one buffer. A buffer for each
    read would be allocated at its full size and then cut, which leaves holes
    in the heap that later reads do not fit into.
    """

    def get_buffer(self, sizehint):
        """See `asyncio.BufferedProtocol`."""
        try:
            return _local.buffer
        except AttributeError:
            _local.buffer = memoryview(bytearray(READ_BYTES))
            return _local.buffer

    def buffer_updated(self, nbytes):
        """See `asyncio.BufferedProtocol`."""
        self.data_received(_local.buffer[:nbytes])

    def data_received(self, data):
        """Take what was read.

        Args:
            data: a `memoryview` that is valid only during the call.
        """
        raise NotImplementedError
