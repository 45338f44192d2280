"""Lets the revision in force ride on requests between our processes."""

import hmac
import time

from catkinshunt import base
from catkinshunt.httpio import headers


class RevisionMiddleware(base.ParamsMixin):
    """Wraps a WSGI application that other processes of the system call.

    It notes the revision that a request names and names its own in the
    reply. A process that has missed pushes learns so from the traffic, and
    does not go on deciding by old rules until its next pull.

    Args:
        app: the application.
        keeper: `configuration.ConfigurationReplica` of the process.
        key: the deployment's key; requests without it are not believed.
    """

    def __init__(self, app, config_replica, key):
        self.app = app
        self.config_replica = config_replica
        self.key = key

    def __repr__(self):
        # The key must not reach a log through repr.
        return f'RevisionApp(app={self.app!r})'

    def __call__(self, environ, start_response):
        """Answer one request."""
        revision = environ.get(_name(headers.REVISION))
        if revision and self._is_ours(environ):
            self.config_replica.observe_revision(revision, time.monotonic())

        def start(status, fields, *exc_info):
            own = (headers.REVISION, str(self.config_replica.revision))
            return start_response(status, [*fields, own], *exc_info)

        return self.app(environ, start)

    def _is_ours(self, environ):
        given = environ.get(_name(headers.DEPLOYMENT_KEY), '')
        return hmac.compare_digest(given.encode(), self.key.encode())


def _name(header):
    return 'HTTP_' + header.upper().replace('-', '_')
