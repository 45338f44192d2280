"""A parsed request of an entry."""

import math

import attrs

from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers

#: Used for a request without a deadline header.
_DEFAULT_DEADLINE_S = 30.0


@attrs.frozen(kw_only=True)
class ForwardedRequest:
    """A request from an entry.

    Attributes:
        request_id: id of the request in all processes.
        method: HTTP method.
        path: path and query for the upstream.
        account: client account of the request.
        weight: weight of the account in fair queueing.
        priority: priority in the queue of the engine.
        model: requested model; empty for a plain service.
        version: required model version; empty for any.
        deadline: when the response must be complete, in seconds,
            monotonic.
        attempt_id: unique id of an attempt that may be dispatched only once.
        not_after: time after which that attempt must not be dispatched, in
            seconds since the epoch.
        body: the complete body.
        content_type: media type of the body.
        is_disconnected: returns whether the entry has closed its connection.
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
        """Parse a request from a WSGI environment.

        Raises:
            errors.InvalidRequestError: a header is invalid.
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
            f'{name} must be a non-negative number, got {text!r}', step='read'
        )
    return value


def _read_priority(environ):
    text = httpio.read_header(environ, headers.PRIORITY) or '0'
    if not text.removeprefix('-').isdecimal():
        raise errors.InvalidRequestError(
            f'{headers.PRIORITY} must be an integer', step='read'
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
