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
        has_sidecar: whether the upstreams have sidecars, which run suspects
            one at a time.
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
        #: Trait for which the latest check rejected the request, or None.
        self.blocked_trait = None
        #: Upstreams whose connections were lost, and of which the guard may
        #: still have to find out whether they crashed.
        self._unchecked_upstreams = []

    @functools.cached_property
    def traits(self):
        """`quarantine.Traits`; the same for each attempt of the client."""
        req = self.req
        return quarantine.Traits(
            quarantine.fingerprint(
                self.host, req.method, req.target, self.account, req.body
            ),
            tuple(map(quarantine.part_fingerprint, self.prompt_parts)),
        )

    def check(self):
        """Raise `QuarantinedError` if the request must not run."""
        self.blocked_trait = None
        if self.guard is None or self.guard.is_idle:
            return
        left_s = self.guard.check(self.traits, self.has_sidecar)
        if left_s > 0:
            self.blocked_trait = (
                self.guard.explain(self.traits) or self.traits.whole
            )
            raise QuarantinedError(
                f'{self._describe_blocked()} is quarantined or suspected of'
                f' crashing upstreams; may run in {math.ceil(left_s)} s',
                step='check-quarantine',
                retry_after_s=math.ceil(left_s),
            )

    def begin(self):
        """Check the request once more, right before it is sent."""
        self.check()
        if self.guard is not None and not self.guard.is_idle:
            self.guard.begin_trial(self.traits)

    @property
    def blocked_part(self):
        """Id of the prompt part in `blocked_trait`.

        None if the whole request is blocked, or nothing.
        """
        if self.blocked_trait is None:
            return None
        if self.blocked_trait not in self.traits.parts:
            return None
        return self.prompt_parts[self.traits.parts.index(self.blocked_trait)]

    def _describe_blocked(self):
        if self.blocked_part is None:
            return f'request with fingerprint {self.blocked_trait}'
        return (
            f'part {self.blocked_part} of the prompt, with fingerprint'
            f' {self.blocked_trait},'
        )

    def is_isolated(self):
        """Return whether no other suspect may run beside the request."""
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
            self._unchecked_upstreams.append(upstream)

    async def wait_for_crash_checks(self):
        """Wait until it is known which lost connections were crashes.

        Before that, the guard does not know the crash that this request may
        have caused, and would let a retry crash another upstream.
        """
        while self._unchecked_upstreams:
            upstream = self._unchecked_upstreams[0]
            await self.guard.wait_for_crash_check(upstream, self.traits)
            # A concurrent attempt may have waited for it and removed it.
            if upstream in self._unchecked_upstreams:
                self._unchecked_upstreams.remove(upstream)

    def record_completion(self):
        """Report that an upstream completed the request."""
        if self.guard is not None and not self.guard.is_idle:
            self.guard.record_completion(self.traits)

    def record_end_at_close(self, upstream, run_s):
        """Report a reply that was delimited by the end of its connection.

        The connection of a crashed upstream ends in the same way, so the
        reply counts as completed only if the upstream has not crashed.

        Args:
            upstream: the `catalog.Upstream`.
            run_s: seconds since the request was sent.
        """
        if self.guard is not None and not self.guard.is_idle:
            self.guard.record_end_at_close(upstream, self.traits, run_s)
