"""Interface between a gateway and the headers of its protocol."""

import abc
import math

import attrs


@attrs.frozen
class RequestInfo:
    """Decoded headers of a client's request.

    The client sends a request in one or more client attempts; for each, the
    gateway makes one or more upstream attempts.

    Attributes:
        id: identifies the client attempt.
        deadline_s: seconds that the client waits, or None if not given.
        api_key: key of an account, or ''.
        model: requested model, or ''.
        tokens_in: prompt tokens, 0 for a plain request.
        tokens_out: expected output tokens, 0 if not given.
        last_event_id: id of the last event that the client received, in
            decimal digits, or ''.
        prompt_parts: ids of the parts of the prompt that other requests may
            share, in order. The last part of a prompt belongs to the request
            or its session and is not among them.
        omitted_parts: texts for the log on what is left out of
            `prompt_parts`, since it is invalid, repeated or beyond the limit.
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
    prompt_parts: tuple[str, ...] = ()
    omitted_parts: tuple[str, ...] = ()


@attrs.frozen
class AttemptInfo:
    """Values that the headers of one upstream attempt carry.

    Attributes:
        upstream_id: the upstream that must answer.
        timeout_s: seconds left until the deadline of the request.
        account: name of the account, or ''.
        last_event_id: id of the last event relayed to the client, or ''.
        priority: priority in the engine's queue, or None.
    """

    upstream_id: str
    timeout_s: float
    account: str = ''
    last_event_id: str = ''
    priority: int | None = None


@attrs.frozen
class ReplyInfo:
    """Decoded headers of an upstream's reply.

    Attributes:
        request_id: `RequestInfo.id` of the request that it answers; '' if it
            states none, or several.
        is_signed: whether it bears the signature without which a success
            does not count.
        not_executed: the upstream states that it did not run the request.
        misdirected: another upstream has the address, or the upstream does
            not serve the requested model version.
        load: `dispatch.Load`, or None.
        rate_limit_per_s: requests per second that the upstream accepts from
            all entries together; infinite if it states no limit, None if
            what it states is invalid.
        is_leaving: the upstream states that it takes no new requests until
            it starts anew.
        back_off_s: seconds for which it wants no request of this entry, or
            None.
        closes_connection: the upstream closes the connection after it.
        invalid_headers: names of the headers whose values cannot be read;
            what they stated before holds on.
        unknown_headers: names of the headers that the dialect does not know.
    """

    request_id: str = ''
    is_signed: bool = True
    not_executed: bool = False
    misdirected: bool = False
    load: object = None
    rate_limit_per_s: float | None = math.inf
    is_leaving: bool = False
    back_off_s: float | None = None
    closes_connection: bool = False
    invalid_headers: tuple[str, ...] = ()
    unknown_headers: tuple[str, ...] = ()


class BaseDialect(abc.ABC):
    """Decodes and encodes the headers of requests and replies.

    Attributes:
        numbers_events: whether each event that an upstream streams has an id,
            one more than that of the event before.
    """

    numbers_events = False

    @abc.abstractmethod
    def decode_request(self, req):
        """Return the `RequestInfo` of an `http1.Request`.

        Raises:
            errors.InvalidRequestError: a header is malformed.
        """

    @abc.abstractmethod
    def upstream_headers(self, req, info, attempt):
        """Return the header items of `req` to send to an upstream."""

    @abc.abstractmethod
    def reply_request_id(self, head):
        """Return `ReplyInfo.request_id` of an `http1.ReplyHead`."""

    @abc.abstractmethod
    def decode_reply(self, head):
        """Return the `ReplyInfo` of an `http1.ReplyHead`."""

    @abc.abstractmethod
    def reply_headers(self, info):
        """Return the header items of the gateway's own replies.

        Args:
            info: the `RequestInfo`, or None if a header was malformed.
        """
