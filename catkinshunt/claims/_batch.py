"""Batches of operations on one shard."""

from concurrent import futures

import attrs

from catkinshunt import errors


@attrs.define(eq=False)
class ClaimOp:
    """A pending claim.

    Attributes:
        identity: digest of account and key.
        record: `Record` to write if the identity is not claimed.
        now: time of the attempt, seconds since the epoch.
        fut: resolves to the `base.Claim` or an error.
        maybe_written: whether a write with this record was sent and may have
            taken effect.
    """

    identity: str
    record: object
    now: float
    fut: futures.Future = attrs.field(factory=futures.Future)
    maybe_written: bool = False
    _result: object = None

    def apply(self, document):
        """Apply the claim to `document` and store the result."""
        try:
            self._result = document.claim(self.identity, self.record, self.now)
        except errors.OverloadedError as exc:
            self._result = exc

    def resolve(self):
        """Resolve the future; return False if it was cancelled."""
        # `set_running_or_notify_cancel` raises an error if it is called a
        # second time for a cancelled future.
        if self.fut.cancelled():
            return False
        if not self.fut.set_running_or_notify_cancel():
            return False
        if isinstance(self._result, Exception):
            self.fut.set_exception(self._result)
        else:
            self.fut.set_result(self._result)
        return True

    def fail(self, exc):
        """Resolve the future with `exc`."""
        self._result = exc
        return self.resolve()

    def make_release(self):
        """Return the release of this claim, fenced against its own write."""
        return ReleaseOp(
            self.identity, self.record.attempt, self.now, fence=True
        )


@attrs.frozen(eq=False)
class FinishOp:
    """A pending outcome."""

    identity: str
    attempt: str
    outcome: object
    now: float

    def apply(self, document, body_limit_bytes):
        """Record the outcome in `document`."""
        document.finish(
            self.identity, self.attempt, self.outcome, body_limit_bytes
        )


@attrs.frozen(eq=False)
class ReleaseOp:
    """A pending release of a claim whose request was not executed.

    Attributes:
        fence: write the document even if it does not contain the claim. An
            earlier write without a response may still be in flight; the new
            revision makes it fail, so it cannot add the claim later.
    """

    identity: str
    attempt: str
    now: float
    fence: bool = False

    def apply(self, document, body_limit_bytes):
        """Remove the claim from `document`."""
        document.release(self.identity, self.attempt)
        document.changed = document.changed or self.fence


@attrs.define
class Batch:
    """Operations on one shard.

    Completions are finishes and releases.

    Finishes and releases are applied before claims, so that a retry in the
    same batch gets the outcome of the previous attempt.
    """

    completion_ops: list = attrs.field(factory=list)
    claim_ops: list = attrs.field(factory=list)

    def __bool__(self):
        return bool(self.completion_ops or self.claim_ops)

    @property
    def now(self):
        """Time of the latest operation, seconds since the epoch."""
        return max(op.now for op in self.completion_ops + self.claim_ops)

    def apply(self, document, limits):
        """Apply all operations to `document`, compacting it before the claims.

        Outcomes are recorded before compaction: those delayed by a long
        outage would be lost if their claims were compacted first.
        """
        for op in self.completion_ops:
            op.apply(document, limits.body_limit_bytes)
        document.compact(self.now, limits.retention_s, limits.answer_kept_s)
        for op in self.claim_ops:
            op.apply(document)

    def drop_cancelled(self):
        """Remove cancelled claims that no write can have stored."""
        self.claim_ops = [
            op
            for op in self.claim_ops
            if op.maybe_written or not op.fut.cancelled()
        ]
