"""The exception tree; every error names the step and the peer."""


class CatkinshuntError(Exception):
    """Base of all errors raised by the system.

    Args:
        message: what went wrong, in one short sentence.
        step: the step of the work at which it arose, such as ``'connect'``.
        peer: the address or name of the other side, if there is one.
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
    """Settings that cannot be used; the message lists all of them.

    Args:
        problems: one `catkinshunt.settings.Problem` for each wrong field.
    """

    def __init__(self, message, *, step='', peer='', problems=()):
        super().__init__(message, step=step, peer=peer)
        self.problems = problems


class RuleError(CatkinshuntError):
    """Rules that cannot be accepted; names each rule and field.

    Args:
        problems: one `catkinshunt.rules.Problem` for each thing wrong.
    """

    def __init__(self, message, *, step='', peer='', problems=()):
        super().__init__(message, step=step, peer=peer)
        self.problems = tuple(problems)


class ConflictError(CatkinshuntError):
    """A compare-and-swap met another revision than expected.

    Args:
        changes: what others changed meanwhile, one sentence each.
    """

    def __init__(self, message, *, step='', peer='', changes=()):
        super().__init__(message, step=step, peer=peer)
        self.changes = tuple(changes)


class StoreError(CatkinshuntError):
    """The key-value service gave no usable answer."""


class StoreUnavailableError(StoreError):
    """The key-value service is down; the call did not take effect."""


class StoreUnknownError(StoreError):
    """The answer was lost; the write may have taken effect or not."""


class PeerError(CatkinshuntError):
    """A call to another process of the system gave no usable answer."""


class PeerUnavailableError(PeerError):
    """The peer was not reached, takes no calls, or was cut off."""


class PeerTimeoutError(PeerError):
    """The peer did not answer before the deadline of the call."""


class PeerUnauthenticatedError(PeerError):
    """The peer does not accept the deployment's key."""


class RequestError(CatkinshuntError):
    """A request that ends without its answer.

    Args:
        retry_after_s: seconds after which the caller may come back; None
            for what the class says.
    """

    #: Seconds after which the caller may come back where the cause tells
    #: no better; None where the same request must not or need not be sent
    #: again. After an unknown outcome a client that repeats by itself could
    #: have a request without an idempotency key run twice.
    default_retry_after_s = None
    #: Whether the request ran: 'no', 'yes' or 'unknown'.
    ran = 'unknown'
    #: HTTP status given to the caller.
    status = 502
    #: Stable word for the cause, given to the caller.
    code = 'failed'

    def __init__(self, message, *, step='', peer='', retry_after_s=None):
        super().__init__(message, step=step, peer=peer)
        if retry_after_s is None:
            retry_after_s = self.default_retry_after_s
        self.retry_after_s = retry_after_s


class RefusedError(RequestError):
    """The request was not run and may be sent again."""

    default_retry_after_s = 1.0
    ran = 'no'
    status = 503
    code = 'refused'


class OverloadedError(RefusedError):
    """Not run: no place for it within its deadline or share."""

    status = 429
    code = 'overloaded'


class LeavingError(RefusedError):
    """Not run: the instance takes no new work because it is leaving."""

    code = 'leaving'


class RecordUnavailableError(RefusedError):
    """Not run now; whether an earlier try ran cannot be seen.

    The caller may send the same key again, and must not take another one.
    """

    ran = 'unknown'
    code = 'record-unseen'


class InvalidRequestError(RefusedError):
    """Not run: the request itself is wrong."""

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
    """Another attempt with the same idempotency key is being run."""

    status = 409
    code = 'in-progress'


class KeyReusedError(InvalidRequestError):
    """Not run: the idempotency key belongs to another request."""

    status = 422
    code = 'key-reused'


class AnswerNotKeptError(RequestError):
    """The request ran before; its answer was not kept."""

    ran = 'yes'
    status = 409
    code = 'answer-not-kept'


class WrongVersionError(RequestError):
    """Another model version answered than the request was routed for."""

    default_retry_after_s = 1.0
    ran = 'yes'
    status = 503
    code = 'wrong-version'


class IncompleteAnswerError(RequestError):
    """An answer that began and could not be brought to its end."""

    default_retry_after_s = 1.0
    ran = 'yes'
    code = 'incomplete'


class TransferError(CatkinshuntError):
    """A weight transfer, or one chunk of it, failed."""


class ManifestError(TransferError):
    """A manifest that is not whole or contradicts itself."""


class SourceBusyError(TransferError):
    """A source has no place, or not yet the chunk; ask it later.

    Args:
        retry_after_s: seconds after which it may be asked again.
        chains: by index of a chunk, whom the source waits for itself.
    """

    def __init__(
        self, message, *, step='', peer='', retry_after_s=None, chains=None
    ):  # fmt: skip
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s
        self.chains = chains or {}


class SourceUnableError(SourceBusyError):
    """A source that will not have a version soon enough to pass it on."""


class CorruptChunkError(TransferError):
    """A chunk whose digest is not the one in the manifest."""


class OrderError(CatkinshuntError):
    """A model engine refused or failed an order."""


class StaleFencingError(OrderError):
    """An order carried an older fencing number than the engine has seen."""
