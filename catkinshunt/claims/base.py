"""Interface of the at-most-once ledger."""

import abc
import enum

import attrs

from catkinshunt import base


class State(enum.Enum):
    """State of a claimed request."""

    #: This attempt holds the claim and may dispatch the request, once.
    GRANTED = 'granted'
    #: Another attempt holds the claim and its deadline has not passed.
    IN_PROGRESS = 'in-progress'
    #: The request was executed.
    FINISHED = 'finished'
    #: The claim's deadline passed and no outcome was recorded.
    UNKNOWN = 'unknown'
    #: The idempotency key was first used with another request.
    MISMATCH = 'mismatch'


@attrs.frozen
class Outcome:
    """Response to a request that was executed.

    Attributes:
        status: HTTP status of the response.
        content_type: media type of the body.
        body: complete body, or None if it was too large to store.
    """

    status: int
    content_type: str = ''
    body: bytes | None = None


@attrs.frozen
class Claim:
    """Result of an attempt to claim a non-idempotent request.

    Attributes:
        identity: digest of the account and the idempotency key.
        attempt: unique id of the attempt that made this claim, whether or
            not it was granted.
        state: `State` of the request.
        deadline: deadline of the attempt that holds the claim, or of
            `attempt` if only a compacted claim is stored; seconds since the
            epoch.
        outcome: `Outcome` of the request, if it ran and is still stored.
    """

    identity: str
    attempt: str
    state: State
    deadline: float
    outcome: Outcome | None = None


class BaseLedger(base.BaseService):
    """Ledger of non-idempotent requests that may have been executed.

    All times are seconds since the epoch, since the records outlive
    processes and are read by other instances.
    """

    @abc.abstractmethod
    def claim(self, account, key, request_digest, attempt, now, deadline):
        """Claim the right to execute the request `key` of `account`.

        Args:
            account: account; keys are unique within one account.
            key: idempotency key sent by the client.
            request_digest: digest of the request's method, path and body.
            attempt: unique id of this attempt, never reused.
            now: present time, seconds since the epoch.
            deadline: the request is not dispatched after this time.

        Returns:
            A `Claim`. Within the retention time a key is granted to exactly
            one attempt, unless the grant is released.

        Raises:
            errors.RefusedError: this attempt is not dispatched. With
                `errors.RecordUnavailableError` an earlier attempt with the
                key may have been executed.
        """

    @abc.abstractmethod
    def finish(self, claim, outcome, now):
        """Record the outcome of a granted claim without blocking."""

    @abc.abstractmethod
    def release(self, claim, now):
        """Release a granted claim whose request was certainly not executed.

        A claim with an unknown outcome must never be released: a retry would
        be granted and the request could be executed twice.
        """
