"""A caller's request as the entry reads it."""

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
#: Longest number taken in a header.
_MAX_DEADLINE_DIGITS = 12


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One request, read whole.

    Attributes:
        request_id: id of the request over all processes.
        service: first part of the path.
        path: the rest of the path, with the query.
        method: HTTP method.
        account: who the request is for.
        model: model asked for; empty for a plain service.
        idempotency_key: one key for all tries of one operation, or empty.
        deadline: present time plus the time the caller gives, in seconds.
        body: the whole body.
        content_type: of the body.
        arrived: when it came, in seconds.
        has_deadline: whether the caller named the deadline.
        prefix: model and start of the prompt, in bytes; empty for a plain
            service.
        first_index: index of the piece that the answer is to begin with.
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
        """Read a request from a WSGI environment.

        Raises:
            errors.InvalidRequestError: a header or the body is wrong.
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
        """Return the request with the deadline that its rule sets.

        The rule can shorten the time that the caller gives, and replaces the
        entry's own where the caller gives none.
        """
        if route.deadline_s is None:
            return self
        deadline = self.arrived_at + route.deadline_s
        if self.has_deadline:
            deadline = min(deadline, self.deadline)
        return attrs.evolve(self, deadline=deadline)

    @property
    def idempotent(self):
        """Whether running the request twice does no harm."""
        return self.method in _SAFE_METHODS or bool(self.model)

    def make_rule_request(self, data_centre, region):
        """Return what rules see of the request."""
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
            f'{headers.DEADLINE_MS} must be whole milliseconds, '
            f'got {text[:20]!r}',
            step='read',
        )
    return int(text) / 1000


@attrs.frozen
class _EngineRequest:
    """What the entry reads of a request to an engine."""

    model: str = ''
    prefix: bytes = b''
    first_index: int = 0

    @classmethod
    def from_body(cls, path, body):
        """Read the body of a request to an engine.

        Raises:
            errors.InvalidRequestError: it is not such a body.
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
                'model must be a text', step='read'
            )
        if type(first_index) is not int or first_index < 0:
            raise errors.InvalidRequestError(
                'resume_from must be a whole number', step='read'
            )
        return cls(model, prefix, first_index)
