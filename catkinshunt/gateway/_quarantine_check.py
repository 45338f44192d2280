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
        prompt_parts: see `base.RequestInfo`.
    """

    def __init__(
        self, guard, req, host, account, has_sidecar, prompt_parts=()
    ):
        self.guard = guard
        self.req = req
        self.host = host
        self.account = account
        self.has_sidecar = has_sidecar
        self.prompt_parts = prompt_parts
        #: Trait for which the last check stopped the request, or None.
        self.stopping_trait = None
        self._unchecked = []

    @functools.cached_property
    def traits(self):
        """`quarantine.Traits`, equal for all client attempts."""
        req = self.req
        return quarantine.Traits(
            quarantine.fingerprint(
                self.host, req.method, req.target, self.account, req.body
            ),
            tuple(map(quarantine.part_fingerprint, self.prompt_parts)),
        )

    def check(self):
        """Raise `QuarantinedError` if the request must not run."""
        self.stopping_trait = None
        if self.guard is None or self.guard.is_idle:
            return
        left_s = self.guard.check(self.traits, self.has_sidecar)
        if left_s > 0:
            self.stopping_trait = (
                self.guard.explain(self.traits) or self.traits.whole
            )
            raise QuarantinedError(
                f'{self._describe_stop()} is quarantined or suspected of'
                f' crashing upstreams; may run in {math.ceil(left_s)} s',
                step='check-quarantine',
                retry_after_s=math.ceil(left_s),
            )

    @property
    def stopping_part(self):
        """Id of the part that stopped the request, or None."""
        if self.stopping_trait is None:
            return None
        if self.stopping_trait not in self.traits.parts:
            return None
        return self.prompt_parts[self.traits.parts.index(self.stopping_trait)]

    def _describe_stop(self):
        if self.stopping_part is None:
            return f'request with fingerprint {self.stopping_trait}'
        return (
            f'part {self.stopping_part} of the prompt, with fingerprint'
            f' {self.stopping_trait},'
        )

    def is_isolated(self):
        """Return whether the request has to run apart from other suspects."""
        if self.guard is None or self.guard.is_idle:
            return False
        return self.guard.is_isolated(self.traits)

    def record_broken_connection(self, upstream, run_s):
        """Report that the connection to an upstream was lost.

        Args:
            upstream: the `catalog.Upstream`.
            run_s: seconds since the request was sent.
        """
        if self.guard is not None:
            self.guard.record_broken_connection(upstream, self.traits, run_s)
            self._unchecked.append(upstream)

    async def wait_for_crash_checks(self):
        """Wait until it is known which lost connections were crashes.

        A retry before that could crash another upstream, as the guard does
        not know yet what the request does.
        """
        while self._unchecked:
            upstream = self._unchecked[0]
            await self.guard.wait_for_crash_check(upstream, self.traits)
            # An attempt beside this one may have waited for it as well.
            if upstream in self._unchecked:
                self._unchecked.remove(upstream)

    def record_completion(self):
        """Report that an upstream completed the request."""
        if self.guard is not None and not self.guard.is_idle:
            self.guard.record_completion(self.traits)

    def record_end_at_close(self, upstream, run_s):
        """Report a reply that seems whole and ended with its connection.

        It counts as completed unless the upstream crashed.

        Args:
            upstream: the `catalog.Upstream`.
            run_s: seconds since the request was sent.
        """
        if self.guard is not None and not self.guard.is_idle:
            self.guard.record_end_at_close(upstream, self.traits, run_s)
