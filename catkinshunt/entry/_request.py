"""A parsed request of a caller."""

import uuid

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import rules

_SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
_GENERATE_PATH = '/generate'
_PREFIX_CHARS = 256
#: Limits the number in the deadline header.
_MAX_DEADLINE_DIGITS = 12


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One request with its complete body.

    Attributes:
        request_id: id of the request in all processes.
        service: first part of the path.
        path: the rest of the path, with the query.
        method: HTTP method.
        account: client account of the request.
        model: requested model; empty for a plain service.
        idempotency_key: one key for all attempts at one operation, or empty.
        deadline: end of the time allowed for the response, in seconds,
            monotonic.
        body: the complete body.
        content_type: media type of the body.
        arrived_at: arrival time, in seconds, monotonic.
        has_deadline: whether the caller set the deadline.
        prefix: model and start of the prompt, in bytes; empty for a plain
            service.
        first_index: index of the first piece of the response.
    """

    request_id: str
    service: str
    path: str
    method: str
    account: str
    model: str
    idempotency_key: str
    deadline: float
    body: bytes
    content_type: str
    arrived_at: float = 0.0
    has_deadline: bool = True
    prefix: bytes = b''
    first_index: int = 0

    @classmethod
    def from_environ(cls, environ, now, default_deadline_s):
        """Parse a request from a WSGI environment.

        Raises:
            errors.InvalidRequestError: a header or the body is invalid.
        """
        service, _, rest = environ['PATH_INFO'][1:].partition('/')
        path = httpio.make_target('/' + rest)
        query = environ.get('QUERY_STRING')
        body = httpio.read_body(environ)
        engine_req = _EngineRequest.from_body(path, body)
        return cls(
            request_id=httpio.read_header(environ, headers.REQUEST_ID)
            or _make_request_id(),
            service=service,
            path=httpio.make_target('/' + rest, query),
            method=environ['REQUEST_METHOD'],
            account=httpio.read_header(environ, headers.ACCOUNT),
            model=engine_req.model,
            idempotency_key=httpio.read_header(
                environ, headers.IDEMPOTENCY_KEY
            ),
            deadline=now + _read_deadline_s(environ, default_deadline_s),
            body=body,
            content_type=environ.get('CONTENT_TYPE', ''),
            arrived_at=now,
            has_deadline=bool(
                httpio.read_header(environ, headers.DEADLINE_MS)
            ),
            prefix=engine_req.prefix,
            first_index=engine_req.first_index,
        )

    def with_route_deadline(self, route):
        """Return the request with the deadline of its route.

        The route can shorten the deadline of the caller, and replaces the
        default of the entry if the caller sets none.
        """
        if route.deadline_s is None:
            return self
        deadline = self.arrived_at + route.deadline_s
        if self.has_deadline:
            deadline = min(deadline, self.deadline)
        return attrs.evolve(self, deadline=deadline)

    @property
    def idempotent(self):
        """Whether the request may safely run twice."""
        return self.method in _SAFE_METHODS or bool(self.model)

    def make_rule_request(self, data_centre, region):
        """Return the `rules.Request` that rules are matched against."""
        return rules.Request(
            service=self.service,
            account=self.account,
            model=self.model,
            method=self.method,
            path=self.path,
            data_centre=data_centre,
            region=region,
            idempotent=self.idempotent,
        )


def _make_request_id():
    return uuid.uuid4().hex


def _read_deadline_s(environ, default_s):
    text = httpio.read_header(environ, headers.DEADLINE_MS)
    if not text:
        return default_s
    if not (
        text.isascii() and text.isdigit() and len(text) <= _MAX_DEADLINE_DIGITS
    ):
        raise errors.InvalidRequestError(
            f'{headers.DEADLINE_MS} must be an integer in milliseconds, '
            f'got {text[:20]!r}',
            step='read',
        )
    return int(text) / 1000


@attrs.frozen
class _EngineRequest:
    """The fields of an engine request that the entry uses."""

    model: str = ''
    prefix: bytes = b''
    first_index: int = 0

    @classmethod
    def from_body(cls, path, body):
        """Parse the body of a request to an engine.

        Raises:
            errors.InvalidRequestError: the body is invalid.
        """
        if path != _GENERATE_PATH:
            return cls()
        try:
            value = checks.load_json(body)
            model = value['model']
            text = value.get('prompt', '')
            prefix = f'{model}\n{text[:_PREFIX_CHARS]}'.encode()
            first_index = value.get('resume_from', 0)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise errors.InvalidRequestError(
                'body must be a JSON object with a model', step='read'
            ) from exc
        if not isinstance(model, str) or not model.isprintable():
            raise errors.InvalidRequestError(
                'model must be a printable string', step='read'
            )
        if type(first_index) is not int or first_index < 0:
            raise errors.InvalidRequestError(
                'resume_from must be a non-negative integer', step='read'
            )
        return cls(model, prefix, first_index)
