"""What the request path asks of an at-most-once record."""

import abc
import enum

import attrs

from catkinshunt import base


class State(enum.Enum):
    """What is known of a claimed request."""

    #: This attempt holds the claim and may dispatch the request, once.
    GRANTED = 'granted'
    #: Another attempt holds the claim and its deadline has not passed.
    IN_PROGRESS = 'in-progress'
    #: The request ran.
    FINISHED = 'finished'
    #: The claim's deadline passed and no outcome was recorded.
    UNKNOWN = 'unknown'
    #: The idempotency key was first used with another request.
    MISMATCH = 'mismatch'


@attrs.frozen
class Outcome:
    """The answer of a request that ran.

    Attributes:
        status: HTTP status of the answer.
        content_type: media type of the body.
        body: the whole body, or None where it was too large to keep.
    """

    status: int
    content_type: str = ''
    body: bytes | None = None


@attrs.frozen
class Claim:
    """The answer to an attempt at a non-idempotent request.

    Attributes:
        identity: digest of the account and its idempotency key.
        attempt: unique id of the attempt that asked.
        state: what is known of the request.
        deadline: seconds since the epoch after which it is not dispatched.
        outcome: the `Outcome`, where it ran and that is still kept.
    """

    identity: str
    attempt: str
    state: State
    deadline: float
    outcome: Outcome | None = None


class BaseLedger(base.BaseService):
    """Record of the non-idempotent requests that may have run.

    All times are seconds since the epoch, as the record outlives processes
    and is read by other instances.
    """

    @abc.abstractmethod
    def claim(self, account, key, request_digest, attempt, now, deadline):
        """Ask to run the request that `account` named by `key`.

        Args:
            account: the account whose keys are told apart from others'.
            key: the caller's idempotency key.
            request_digest: digest of the request's method, path and body.
            attempt: unique id of this attempt, never used again.
            now: present time, seconds since the epoch.
            deadline: the request is not dispatched after this time.

        Returns:
            A `Claim`. Exactly one attempt is ever granted one key, within
            the time that claims are kept, unless a grant was released.

        Raises:
            errors.RefusedError: nothing was granted or dispatched.
        """

    @abc.abstractmethod
    def finish(self, claim, outcome, now):
        """Record the outcome of a granted claim; does not wait."""

    @abc.abstractmethod
    def release(self, claim, now):
        """Give back a granted claim whose request is known not to have run.

        A claim whose outcome is not known must never be released: a repeat
        would be granted and the request could run a second time.
        """
