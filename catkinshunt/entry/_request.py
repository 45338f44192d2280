"""A caller's request as the entry reads it."""

import json
import uuid

import attrs

from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import rules

_SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
_GENERATE = '/generate'


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

    @classmethod
    def from_environ(cls, environ, now, default_deadline_s):
        """Read a request from a WSGI environment.

        Raises:
            errors.InvalidRequestError: a header or the body is wrong.
        """
        service, _, rest = environ['PATH_INFO'][1:].partition('/')
        path = '/' + rest
        query = environ.get('QUERY_STRING')
        body = httpio.read_body(environ)
        return cls(
            request_id=_header(environ, headers.REQUEST_ID) or _new_id(),
            service=service,
            path=f'{path}?{query}' if query else path,
            method=environ['REQUEST_METHOD'],
            account=_header(environ, headers.ACCOUNT),
            model=_model(path, body),
            idempotency_key=_header(environ, headers.IDEMPOTENCY_KEY),
            deadline=now + _deadline_s(environ, default_deadline_s),
            body=body,
            content_type=environ.get('CONTENT_TYPE', ''),
        )

    @property
    def idempotent(self):
        """Whether running the request twice does no harm."""
        return self.method in _SAFE_METHODS or bool(self.model)

    def subject(self, data_centre, region):
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


def _header(environ, name):
    return environ.get('HTTP_' + name.upper().replace('-', '_'), '')


def _new_id():
    return uuid.uuid4().hex


def _deadline_s(environ, default_s):
    text = _header(environ, headers.DEADLINE_MS)
    if not text:
        return default_s
    if not text.isdigit():
        raise errors.InvalidRequestError(
            f'{headers.DEADLINE_MS} must be whole milliseconds, got {text!r}',
            step='read',
        )
    return int(text) / 1000


def _model(path, body):
    """Return the model that a request to an engine names."""
    if path != _GENERATE:
        return ''
    try:
        return json.loads(body)['model']
    except (ValueError, KeyError, TypeError) as exc:
        raise errors.InvalidRequestError(
            'body must be a JSON object with a model', step='read'
        ) from exc
