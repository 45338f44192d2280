"""HTTP server on waitress, run in a background thread."""

import threading
import time

import waitress.server

from catkinshunt import base
from catkinshunt import callers
from catkinshunt.httpio import _channel

#: Maximum size of a request body; also keeps bodies out of temporary files.
MAX_BODY_BYTES = 8 * 1024 * 1024
#: Bytes that may be buffered for a slow reader before writes block.
OUTPUT_HIGH_WATERMARK_BYTES = 4 * 1024 * 1024
#: Larger than any buffer: above this size waitress buffers in a file, and
#: instances have no disks.
NO_OVERFLOW_BYTES = 1 << 40
#: Connections beyond which none is accepted, where the budget bounds no fewer.
CONNECTION_LIMIT = 4096
#: Longest wait of the event loop until the trigger has been pulled.
_TRIGGER_WAIT_S = 1.0
_JOIN_PERIOD_S = 0.02


class HttpServer(base.BaseService):
    """Serves a WSGI application until stopped.

    Args:
        app: the WSGI application.
        host: address to listen on.
        port: port to listen on; 0 selects a free one.
        threads: number of requests served concurrently.
        max_body_bytes: larger bodies are rejected with status 413.
        budget: `callers.CallerBudget`; None for no bound.
    """

    def __init__(
        self,
        app,
        host='127.0.0.1',
        port=0,
        threads=16,
        max_body_bytes=MAX_BODY_BYTES,
        budget=None,
    ):
        self.app = app
        self.host = host
        self.port = port
        self.threads = threads
        self.max_body_bytes = max_body_bytes
        self.budget = budget
        self._server = None
        self._thread = None

    def start(self):
        """Listen, and serve in a background thread."""
        self._server = waitress.server.create_server(
            self.app,
            host=self.host,
            port=self.port,
            threads=self.threads,
            ident=None,
            # Sends each streamed piece at once.
            send_bytes=1,
            channel_request_lookahead=1,
            max_request_body_size=self.max_body_bytes,
            inbuf_overflow=NO_OVERFLOW_BYTES,
            outbuf_overflow=NO_OVERFLOW_BYTES,
            outbuf_high_watermark=OUTPUT_HIGH_WATERMARK_BYTES,
            clear_untrusted_proxy_headers=True,
            connection_limit=CONNECTION_LIMIT,
            asyncore_use_poll=True,
        )
        self._server.channel_class = _channel.Channel
        self._server.budget = self.budget or callers.CallerBudget()
        self._server.clock = time.monotonic
        self.port = self._server.effective_port
        self._thread = threading.Thread(
            target=self._server.run, name=f'http-{self.port}', daemon=True
        )
        self._thread.start()
        return self

    def join(self, timeout_s):
        """Wait until no request is in progress and all replies are sent.

        The application should reject new requests before this is called.

        Returns:
            Whether this was reached within `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        pause = threading.Event()
        while self._is_busy():
            if time.monotonic() >= deadline:
                return False
            pause.wait(_JOIN_PERIOD_S)
        return True

    def _is_busy(self):
        if self._server is None:
            return False
        channels = list(self._server.active_channels.values())
        # A reply is buffered completely before its last bytes are sent;
        # closing the channel then would truncate it.
        return any(
            channel.requests or channel.total_outbufs_len
            for channel in channels
        )

    def stop(self):
        """Stop listening and end the server threads."""
        if self._server is None:
            return
        server, self._server = self._server, None
        server.task_dispatcher.shutdown(cancel_pending=True, timeout=1)
        # The loop thread owns the sockets; if they were closed here, it would
        # poll until its timeout.
        triggered = threading.Event()

        def close():
            # A finished task can wake the loop before the trigger is pulled
            # below, which would then write to a closed descriptor.
            triggered.wait(_TRIGGER_WAIT_S)
            _close(server)

        try:
            server.trigger.pull_trigger(close)
        finally:
            triggered.set()
        self._thread.join(timeout=2)


def _close(server):
    """Close the listening socket and all connections, in the loop thread."""
    for channel in list(server.active_channels.values()):
        channel.handle_close()
    server.close()
