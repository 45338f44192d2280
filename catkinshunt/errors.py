"""Exception hierarchy; errors carry the failed step and the peer."""


class CatkinshuntError(Exception):
    """Base class of all errors raised by the system.

    Args:
        message: short description of the failure.
        step: operation that failed, such as ``'connect'``.
        peer: address or name of the remote process, if there is one.
    """

    def __init__(self, message, *, step='', peer=''):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        text = self.message
        if self.step:
            text += f' [step {self.step}]'
        if self.peer:
            text += f' [peer {self.peer}]'
        return text


class SettingsError(CatkinshuntError):
    """Invalid settings; the message lists all invalid fields.

    Args:
        problems: one `catkinshunt.settings.Problem` per invalid field.
    """

    def __init__(self, message, *, step='', peer='', problems=()):
        super().__init__(message, step=step, peer=peer)
        self.problems = problems


class RuleError(CatkinshuntError):
    """Invalid rules; the message names each rule and field.

    Args:
        problems: one `catkinshunt.rules.Problem` per invalid field.
    """

    def __init__(self, message, *, step='', peer='', problems=()):
        super().__init__(message, step=step, peer=peer)
        self.problems = tuple(problems)


class ConflictError(CatkinshuntError):
    """A compare-and-swap found another revision than expected.

    Args:
        changes: concurrent changes by others, one sentence each.
    """

    def __init__(self, message, *, step='', peer='', changes=()):
        super().__init__(message, step=step, peer=peer)
        self.changes = tuple(changes)


class StoreError(CatkinshuntError):
    """The key-value service returned no usable answer."""


class StoreUnavailableError(StoreError):
    """The key-value service is unavailable; the call had no effect.

    Also raised if a process that relays a watch gives no usable answer.
    """


class StoreUnknownError(StoreError):
    """The answer was lost; the write may or may not have taken effect."""


class PeerError(CatkinshuntError):
    """A call to another process of the system returned no usable answer."""


class PeerUnavailableError(PeerError):
    """The peer is unreachable, rejects calls, or lost the connection."""


class PeerTimeoutError(PeerError):
    """The peer did not answer before the deadline of the call."""


class PeerUnauthenticatedError(PeerError):
    """The peer rejected the deployment key."""


class RequestError(CatkinshuntError):
    """A request that ended without a complete answer.

    Args:
        retry_after_s: seconds after which the caller may retry; None for the
            default of the class.
    """

    #: Default seconds after which the caller may retry; None if the same
    #: request must not or need not be sent again. After an unknown outcome, a
    #: client that retries automatically could run a request without an
    #: idempotency key twice.
    default_retry_after_s = None
    #: Whether the request ran, in this or an earlier attempt: 'no', 'yes' or
    #: 'unknown'.
    ran = 'unknown'
    #: HTTP status code returned to the caller.
    status = 502
    #: Stable error code returned to the caller.
    code = 'failed'

    def __init__(self, message, *, step='', peer='', retry_after_s=None):
        super().__init__(message, step=step, peer=peer)
        if retry_after_s is None:
            retry_after_s = self.default_retry_after_s
        self.retry_after_s = retry_after_s


class RefusedError(RequestError):
    """Rejected: the request was not run and may be sent again."""

    default_retry_after_s = 1.0
    ran = 'no'
    status = 503
    code = 'refused'


class OverloadedError(RefusedError):
    """Not run: no capacity within its deadline or fair share."""

    status = 429
    code = 'overloaded'


class LeavingError(RefusedError):
    """Not run: the instance is leaving and accepts no new requests."""

    code = 'leaving'


class RecordUnavailableError(RefusedError):
    """Attempt not run; the idempotency record of earlier ones is unreadable.

    An earlier attempt may have run, so the caller may retry with the same
    idempotency key but must not use another one.
    """

    ran = 'unknown'
    code = 'record-unseen'


class InvalidRequestError(RefusedError):
    """Not run: the request is invalid."""

    default_retry_after_s = None
    status = 400
    code = 'invalid'


class OutcomeUnknownError(RequestError):
    """The request may have run; its answer was lost."""

    code = 'outcome-unknown'


class DuplicateAttemptError(OutcomeUnknownError):
    """A second delivery of an attempt; the first may be running."""

    status = 409
    code = 'duplicate-attempt'


class InProgressError(OutcomeUnknownError):
    """Another attempt with the same idempotency key is still running."""

    status = 409
    code = 'in-progress'


class KeyReusedError(InvalidRequestError):
    """Not run: the idempotency key belongs to another request."""

    status = 422
    code = 'key-reused'


class AnswerNotKeptError(RequestError):
    """The request ran before, but its answer was not stored."""

    ran = 'yes'
    status = 409
    code = 'answer-not-kept'


class WrongVersionError(RequestError):
    """Another model version answered than the routed one."""

    default_retry_after_s = 1.0
    ran = 'yes'
    status = 503
    code = 'wrong-version'


class IncompleteAnswerError(RequestError):
    """An answer that started and could not be completed."""

    default_retry_after_s = 1.0
    ran = 'yes'
    code = 'incomplete'


class TransferError(CatkinshuntError):
    """A transfer of weights or of one chunk failed."""


class ManifestError(TransferError):
    """A manifest that is incomplete or inconsistent."""


class VersionWithdrawnError(TransferError):
    """The origin no longer has the version."""


class SourceBusyError(TransferError):
    """A source is at its limit or does not have the chunk yet.

    Args:
        retry_after_s: seconds after which the request may be retried.
        chains: by chunk index, the sources for which this one waits in turn;
            used to detect cycles.
    """

    def __init__(
        self, message, *, step='', peer='', retry_after_s=None, chains=None
    ):  # fmt: skip
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s
        self.chains = chains or {}


class SourceUnableError(SourceBusyError):
    """A source that will not provide the version, or not in time."""


class CorruptChunkError(TransferError):
    """A chunk whose digest differs from that in the manifest."""


class OrderError(CatkinshuntError):
    """A model engine rejected a command or failed to execute it."""


class StaleFencingError(OrderError):
    """A command carried an older fencing number than an earlier one."""
