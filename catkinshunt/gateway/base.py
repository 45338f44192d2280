"""What a gateway needs from the protocol that callers and upstreams speak."""

import abc

import attrs


@attrs.frozen
class RequestInfo:
    """A caller's request, decoded.

    Attributes:
        id: names this try of the caller.
        deadline_s: seconds that the caller waits; None where it told none.
        api_key: key of an account, or ''.
        model: model that is asked for, or ''.
        tokens_in: prompt tokens, 0 for a plain request.
        tokens_out: likely tokens of the answer, 0 where the caller tells
            none.
        last_event_id: id of the last event that the caller has, or ''.
    """

    id: str
    host: str
    path: str
    method: str = 'GET'
    deadline_s: float | None = None
    api_key: str = ''
    model: str = ''
    tokens_in: int = 0
    tokens_out: int = 0
    last_event_id: str = ''


@attrs.frozen
class AttemptInfo:
    """What one try at an upstream is told.

    Attributes:
        upstream_id: the upstream that must answer.
        timeout_s: seconds that it may take.
        account: name of the account, or ''.
        last_event_id: id of the last event passed on, or ''.
        priority: rank among the waiting requests, or None.
    """

    upstream_id: str
    timeout_s: float
    account: str = ''
    last_event_id: str = ''
    priority: int | None = None


@attrs.frozen
class ReplyInfo:
    """What the head of an upstream's reply says beside its status.

    Attributes:
        request_id: id of the request that it answers, or ''.
        not_executed: the upstream says that the request has not run.
        misdirected: another upstream has the address, or it does not serve
            what was asked for.
        load: `dispatch.Load`, or None.
        leaving: the upstream closes the connection after this reply.
    """

    request_id: str = ''
    not_executed: bool = False
    misdirected: bool = False
    load: object = None
    closes_connection: bool = False


class BaseDialect(abc.ABC):
    """Translates the headers of requests and replies."""

    @abc.abstractmethod
    def decode_request(self, req):
        """Return the `RequestInfo` in an `http1.Request`.

        Raises:
            errors.InvalidRequestError: a header cannot be read.
        """

    @abc.abstractmethod
    def upstream_headers(self, req, ask, forward):
        """Return the header items of `req` for an upstream."""

    @abc.abstractmethod
    def decode_reply(self, head):
        """Return the `ReplyInfo` in an `http1.ReplyHead`."""

    @abc.abstractmethod
    def reply_headers(self, ask):
        """Return the header items that each of our own replies carries."""
