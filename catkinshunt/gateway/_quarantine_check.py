"""Checks a request that may crash its upstreams."""

import functools
import math

from catkinshunt import errors
from catkinshunt import quarantine


class QuarantinedError(errors.RefusedError):
    """Not run: quarantined, or a suspect that is paused for a short time."""

    code = 'quarantined'


class QuarantineCheck:
    """Checks one request against the quarantine and reports on its runs.

    Args:
        guard: `quarantine.Guard`, or None to disable the check.
        req: the `http1.Request`.
        host: requested host.
        account: name of the account, or ''.
        has_sidecar: whether sidecars keep suspects of the service apart.
    """

    def __init__(self, guard, req, host, account, has_sidecar):
        self.guard = guard
        self.req = req
        self.host = host
        self.account = account
        self.has_sidecar = has_sidecar

    @functools.cached_property
    def fingerprint(self):
        """Identifier that is equal for all client attempts of the request."""
        req = self.req
        return quarantine.fingerprint(
            self.host, req.method, req.target, self.account, req.body
        )

    def check(self):
        """Raise `QuarantinedError` if the request must not run."""
        if self.guard is None or self.guard.is_idle:
            return
        left_s = self.guard.check(self.fingerprint, self.has_sidecar)
        if left_s > 0:
            raise QuarantinedError(
                f'request with fingerprint {self.fingerprint} is quarantined'
                f' or suspected of crashing upstreams; may run in'
                f' {math.ceil(left_s)} s',
                step='check-quarantine',
                retry_after_s=math.ceil(left_s),
            )

    def is_isolated(self):
        """Return whether the request has to run apart from other suspects."""
        if self.guard is None or self.guard.is_idle:
            return False
        return self.guard.is_isolated(self.fingerprint)

    def record_broken_connection(self, upstream, run_s):
        """Report that the connection to an upstream was lost.

        Args:
            upstream: the `catalog.Upstream`.
            run_s: seconds since the request was sent.
        """
        if self.guard is not None:
            self.guard.record_broken_connection(
                upstream, self.fingerprint, run_s
            )

    async def wait_for_crash_check(self, upstream):
        """Wait until a suspect's lost connection is known to be a crash."""
        if self.guard is not None and not self.guard.is_idle:
            await self.guard.wait_for_crash_check(upstream, self.fingerprint)

    def record_completion(self):
        """Report that an upstream completed the request."""
        if self.guard is not None and not self.guard.is_idle:
            self.guard.record_completion(self.fingerprint)
