"""A request from an entry, as a sidecar reads it."""

import math

import attrs

from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers

#: Deadline of a request that names none, in seconds.
_DEFAULT_DEADLINE_S = 30.0


@attrs.frozen(kw_only=True)
class ForwardedRequest:
    """A request from an entry.

    Attributes:
        request_id: id of the request over all processes.
        method: HTTP method.
        path: path and query at the upstream.
        account: who the request is for.
        weight: share of the account.
        priority: in the engine's queue.
        model: model asked for; empty for a plain service.
        version: model version that must answer; empty for any.
        deadline: when its answer must be whole, in seconds.
        attempt_id: unique id of a try that may be dispatched once only.
        not_after: seconds since the epoch after which that try must not be
            dispatched.
        body: the whole body.
        content_type: of the body.
        is_disconnected: tells whether the entry has closed its connection.
    """

    request_id: str
    method: str
    path: str
    account: str
    weight: float
    priority: int
    model: str
    version: str
    deadline: float
    attempt_id: str
    not_after: float
    body: bytes
    content_type: str
    is_disconnected: object

    @classmethod
    def from_environ(cls, environ, path, now):
        """Read a request from a WSGI environment.

        Raises:
            errors.InvalidRequestError: a header is wrong.
        """
        default_ms = _DEFAULT_DEADLINE_S * 1000
        remaining_ms = _read_number(environ, headers.DEADLINE_MS, default_ms)
        return cls(
            request_id=httpio.read_header(environ, headers.REQUEST_ID),
            method=environ['REQUEST_METHOD'],
            path=httpio.make_target(path, environ.get('QUERY_STRING')),
            account=httpio.read_header(environ, headers.ACCOUNT),
            weight=_read_number(environ, headers.WEIGHT, 1.0) or 1.0,
            priority=_read_priority(environ),
            model=headers.decode_text(
                httpio.read_header(environ, headers.MODEL)
            ),
            version=headers.decode_text(
                httpio.read_header(environ, headers.MODEL_VERSION)
            ),
            deadline=now + remaining_ms / 1000,
            attempt_id=httpio.read_header(environ, headers.ATTEMPT_ID),
            not_after=_read_not_after(environ),
            body=httpio.read_body(environ),
            content_type=environ.get('CONTENT_TYPE', ''),
            is_disconnected=environ.get(
                'waitress.client_disconnected', lambda: False
            ),
        )


def _read_number(environ, name, default):
    text = httpio.read_header(environ, name)
    try:
        value = float(text or default)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e9:
        raise errors.InvalidRequestError(
            f'{name} must be a number, got {text!r}', step='read'
        )
    return value


def _read_priority(environ):
    text = httpio.read_header(environ, headers.PRIORITY) or '0'
    if not text.removeprefix('-').isdecimal():
        raise errors.InvalidRequestError(
            f'{headers.PRIORITY} must be a whole number', step='read'
        )
    return int(text)


def _read_not_after(environ):
    text = httpio.read_header(environ, headers.NOT_AFTER)
    if not text and not httpio.read_header(environ, headers.ATTEMPT_ID):
        return math.inf
    try:
        return float(text)
    except ValueError as exc:
        raise errors.InvalidRequestError(
            f'{headers.NOT_AFTER} must be a number', step='read'
        ) from exc
