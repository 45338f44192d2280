"""Keeps one request from running where it crashes its upstreams."""

import functools
import math

from catkinshunt import errors
from catkinshunt import quarantine


class QuarantinedError(errors.RefusedError):
    """Not run: upstreams crashed each time that the request ran."""

    code = 'quarantined'


class QuarantineCheck:
    """What one request has to do with crashes of its upstreams.

    Args:
        guard: `quarantine.Guard`, or None for none.
        req: the `http1.Request`.
        host: host that it asks for.
        account: name of its account, or ''.
    """

    def __init__(self, guard, req, host, account):
        self.guard = guard
        self.req = req
        self.host = host
        self.account = account

    @functools.cached_property
    def fingerprint(self):
        """Names the request each time that it comes."""
        req = self.req
        return quarantine.fingerprint(
            self.host, req.method, req.target, self.account, req.body
        )

    def check(self):
        """Raise `QuarantinedError` where the request must not run."""
        if self.guard is None or self.guard.is_idle:
            return
        left_s = self.guard.check(self.fingerprint)
        if left_s > 0:
            raise QuarantinedError(
                f'upstreams crashed under request {self.fingerprint}',
                step='check-quarantine',
                retry_after_s=math.ceil(left_s),
            )

    def record_broken_connection(self, upstream):
        """Note that the connection to an upstream broke off."""
        if self.guard is not None:
            self.guard.record_broken_connection(upstream, self.fingerprint)

    def record_completion(self):
        """Note that an upstream has run the request to its end."""
        if self.guard is not None and not self.guard.is_idle:
            self.guard.record_completion(self.fingerprint)
