"""Propagates the configuration revision in headers of requests."""

import hmac
import time

from catkinshunt import base
from catkinshunt.httpio import headers


class RevisionMiddleware(base.ParamsMixin):
    """WSGI middleware for requests between processes of a deployment.

    It reads the revision in the header of a request and adds the own one to
    the reply. A process that missed pushes thus detects that its rules are
    outdated without waiting for its next pull.

    Args:
        app: the WSGI application.
        config_replica: `configuration.ConfigurationReplica` of the process.
        key: the deployment's key; revisions of requests without it are
            ignored.
    """

    def __init__(self, app, config_replica, key):
        self.app = app
        self.config_replica = config_replica
        self.key = key

    def __repr__(self):
        # Excludes the key, which must not be logged.
        return f'RevisionApp(app={self.app!r})'

    def __call__(self, environ, start_response):
        """Handle one request."""
        revision = environ.get(_environ_key(headers.REVISION))
        if revision and self._has_valid_key(environ):
            self.config_replica.observe_revision(revision, time.monotonic())

        def start(status, fields, *exc_info):
            revision_header = (
                headers.REVISION,
                str(self.config_replica.revision),
            )
            return start_response(
                status, [*fields, revision_header], *exc_info
            )

        return self.app(environ, start)

    def _has_valid_key(self, environ):
        presented_key = environ.get(_environ_key(headers.DEPLOYMENT_KEY), '')
        return hmac.compare_digest(presented_key.encode(), self.key.encode())


def _environ_key(header):
    return 'HTTP_' + header.upper().replace('-', '_')
