"""Records status and duration of the requests of a WSGI application."""

import time

from catkinshunt import base


class InstrumentedApp(base.ParamsMixin):
    """Forwards requests to `app` and records status and duration.

    The duration of a streamed reply is recorded when its last piece has been
    yielded, not when it begins.

    Args:
        app: the WSGI application.
        registry: the `Registry` of the process.
    """

    def __init__(self, app, registry):
        self.app = app
        self.registry = registry
        self._durations = registry.recorder(
            'request_duration_seconds', 'Time to the end of the answer.'
        )
        self._first_bytes = registry.recorder(
            'first_byte_seconds', 'Time to the first bytes of the answer.'
        )
        self._requests = registry.counter(
            'requests', 'Requests by HTTP status.', ('status',)
        )
        self._cut_off = registry.counter(
            'answers_cut_off', 'Answers that did not come to their end.'
        )

    def __call__(self, environ, start_response):
        begin = time.monotonic()

        def record_status(status, headers, exc_info=None):
            self._requests.add(status[:3])
            return start_response(status, headers, exc_info)

        body = self.app(environ, record_status)
        if isinstance(body, (list, tuple)):
            # A list is returned unchanged: the server takes the length from
            # it and can keep the connection alive.
            duration_s = time.monotonic() - begin
            self._first_bytes.observe(duration_s)
            self._durations.observe(duration_s)
            return body
        return self._measure(body, begin)

    def _measure(self, body, begin):
        """Yield the pieces of `body` and record its duration."""
        is_first = True
        try:
            for piece in body:
                if is_first:
                    self._first_bytes.observe(time.monotonic() - begin)
                    is_first = False
                yield piece
            self._durations.observe(time.monotonic() - begin)
        except Exception:
            self._cut_off.add()
            raise
        finally:
            if hasattr(body, 'close'):
                body.close()
