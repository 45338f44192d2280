"""Counts the bytes of live requests, which take precedence over transfers."""

from catkinshunt import base


class LiveTrafficApp(base.ParamsMixin):
    """Reports the request and response bytes of a WSGI application.

    Args:
        app: the wrapped WSGI application.
        observe: called with the bytes sent and the bytes received.
        prefix: path prefix of live requests; others are not counted.
    """

    def __init__(self, app, observe, prefix='/upstream/'):
        self.app = app
        self.observe = observe
        self.prefix = prefix

    def __call__(self, environ, start_response):
        """Handle one request."""
        body = self.app(environ, start_response)
        if not environ['PATH_INFO'].startswith(self.prefix):
            return body
        self.observe(0, int(environ.get('CONTENT_LENGTH') or 0))
        return _CountedBody(body, self.observe)


class _CountedBody:
    """A response body whose bytes are counted as they are sent."""

    def __init__(self, body, observe):
        self._body = body
        self._observe = observe

    def __iter__(self):
        for piece in self._body:
            self._observe(len(piece), 0)
            yield piece

    def close(self):
        """Close the wrapped body, which releases the response."""
        close = getattr(self._body, 'close', None)
        if close is not None:
            close()
