"""Small helpers for WSGI applications."""

import http
import json
import math
import urllib.parse

import attrs

from catkinshunt import errors

_JSON_CONTENT_TYPE = 'application/json'
#: Characters of a path, and of a query, that need no escape.
_PATH_CHARS = "/:@!$&'()*+,;=~-._"
_QUERY_CHARS = _PATH_CHARS + '?%[]{}|^`"\\<>'


@attrs.frozen
class Response:
    """What a handler answers with.

    Attributes:
        status: HTTP status code.
        body: an iterable of bytes; a stream ends when it does.
        headers: pairs of name and value.
    """

    status: int
    body: object = ()
    headers: tuple = ()

    @classmethod
    def of_json(cls, status, value, headers=()):
        """Make a response whose body is `value` as JSON."""
        body = json.dumps(value).encode()
        length = ('Content-Length', str(len(body)))
        kind = ('Content-Type', _JSON_CONTENT_TYPE)
        return cls(status, [body], (length, kind, *headers))

    def with_headers(self, *pairs):
        """Return the same response with more headers."""
        return attrs.evolve(self, headers=(*self.headers, *pairs))

    def send(self, start_response):
        """Begin the response and return its body."""
        try:
            phrase = http.HTTPStatus(self.status).phrase
        except ValueError:
            phrase = 'Status'
        start_response(f'{self.status} {phrase}', list(self.headers))
        return self.body


def error_response(exc, request_id='', headers=()):
    """Return the JSON response that tells a caller of `exc`.

    Args:
        exc: an `errors.RequestError`.
        request_id: id of the request, so that logs can be found.
        headers: further pairs of name and value.
    """
    extra = list(headers)
    if exc.retry_after_s is not None:
        seconds = max(1, math.ceil(exc.retry_after_s))
        extra.append(('Retry-After', str(seconds)))
    value = {
        'code': exc.code,
        'message': exc.message,
        'ran': exc.ran,
        'retry_after_s': exc.retry_after_s,
        'request_id': request_id,
        'step': exc.step,
    }
    return Response.of_json(exc.status, {'error': value}, tuple(extra))


def make_target(path, query=''):
    """Return the request target for a path that the server has decoded.

    Args:
        path: decoded path, each character one byte.
        query: query as it came, or empty.

    Examples:
        >>> make_target('/a b\\r\\n', 'q=1')
        '/a%20b%0D%0A?q=1'
    """
    # A blank or a line end in the path would end the request line, and the
    # next process would read the rest as a header or as another request.
    target = urllib.parse.quote(path.encode('latin-1'), _PATH_CHARS)
    if query:
        escaped = urllib.parse.quote(query.encode('latin-1'), _QUERY_CHARS)
        target += '?' + escaped
    return target


def read_body(environ):
    """Return the request's whole body.

    Raises:
        errors.InvalidRequestError: the body ended before its length.
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body = environ['wsgi.input'].read(length)
    if len(body) != length:
        raise errors.InvalidRequestError('body cut short', step='read')
    return body


def read_header(environ, name):
    """Return a request's header, or an empty text.

    Examples:
        >>> read_header({'HTTP_IDEMPOTENCY_KEY': 'k'}, 'Idempotency-Key')
        'k'
    """
    return environ.get('HTTP_' + name.upper().replace('-', '_'), '')
