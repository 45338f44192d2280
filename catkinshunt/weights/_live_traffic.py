"""Counts the bytes of live requests, to which transfers yield."""

from catkinshunt import base


class LiveTrafficApp(base.ParamsMixin):
    """Reports the bytes of requests and answers of a WSGI application.

    Args:
        app: the WSGI application.
        observe: function of the bytes sent and the bytes received.
        prefix: only requests whose path begins so are live ones.
    """

    def __init__(self, app, observe, prefix='/upstream/'):
        self.app = app
        self.observe = observe
        self.prefix = prefix

    def __call__(self, environ, start_response):
        """Answer one request."""
        body = self.app(environ, start_response)
        if not environ['PATH_INFO'].startswith(self.prefix):
            return body
        self.observe(0, int(environ.get('CONTENT_LENGTH') or 0))
        return _CountedBody(body, self.observe)


class _CountedBody:
    """A body that is counted as it is sent."""

    def __init__(self, body, observe):
        self._body = body
        self._observe = observe

    def __iter__(self):
        for piece in self._body:
            self._observe(len(piece), 0)
            yield piece

    def close(self):
        """Pass the server's call on, so that the answer is released."""
        close = getattr(self._body, 'close', None)
        if close is not None:
            close()
