"""The operations that wait for the next write of their shard."""

from concurrent import futures

import attrs

from catkinshunt import errors


@attrs.define(eq=False)
class ClaimOp:
    """An attempt that waits to be granted.

    Attributes:
        identity: digest of account and key.
        record: the record to write if the identity is free.
        now: time of the attempt, seconds since the epoch.
        fut: gets the `base.Claim` or the error.
        written: a write that held the record may have taken effect.
    """

    identity: str
    record: object
    now: float
    fut: futures.Future = attrs.field(factory=futures.Future)
    maybe_written: bool = False
    _result: object = None

    def apply(self, document):
        """Try the claim on `document` and remember the result."""
        try:
            self._result = document.claim(self.identity, self.record, self.now)
        except errors.OverloadedError as exc:
            self._result = exc

    def complete(self):
        """Hand over the result; returns whether somebody still waited."""
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
        """Hand over `exc`."""
        self._result = exc
        return self.complete()

    def make_release(self):
        """Return the operation that takes this attempt's claim back."""
        return ReleaseOp(
            self.identity, self.record.attempt, self.now, fence=True
        )


@attrs.frozen(eq=False)
class FinishOp:
    """An outcome to record."""

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
    """A claim to take back, as its request did not run.

    Attributes:
        fence: write the document even if it does not hold the claim. A
            write whose answer was lost may still be on its way; it meets
            another revision then, and cannot leave the claim behind.
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
    """Operations of one shard in the order in which they are applied.

    Finishes and releases go first: a repeat in the same batch then sees the
    outcome of the attempt before it.
    """

    completion_ops: list = attrs.field(factory=list)
    claim_ops: list = attrs.field(factory=list)

    def __bool__(self):
        return bool(self.completion_ops or self.claim_ops)

    @property
    def now(self):
        """Latest time of any operation."""
        return max(op.now for op in self.completion_ops + self.claim_ops)

    def apply(self, document, limits):
        """Apply all operations to `document` and trim it in between.

        Outcomes that waited out a long outage are recorded before their
        claims shrink, which would lose them.
        """
        for op in self.completion_ops:
            op.apply(document, limits.body_limit_bytes)
        document.compact(self.now, limits.retention_s, limits.answer_kept_s)
        for op in self.claim_ops:
            op.apply(document)

    def drop_cancelled(self):
        """Forget claims nobody waits for and that no write has held."""
        self.claim_ops = [
            op
            for op in self.claim_ops
            if op.maybe_written or not op.fut.cancelled()
        ]
