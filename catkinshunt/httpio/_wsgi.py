"""Helpers for WSGI applications."""

import http
import json
import math
import urllib.parse

import attrs

from catkinshunt import errors

_JSON_CONTENT_TYPE = 'application/json'
#: Characters of a path, and of a query, that are not escaped.
_PATH_CHARS = "/:@!$&'()*+,;=~-._"
_QUERY_CHARS = _PATH_CHARS + '?%[]{}|^`"\\<>'


@attrs.frozen
class Response:
    """Response of a WSGI handler.

    Attributes:
        status: HTTP status code.
        body: an iterable of bytes; a streamed response ends with it.
        headers: pairs of name and value.
    """

    status: int
    body: object = ()
    headers: tuple = ()

    @classmethod
    def of_json(cls, status, value, headers=()):
        """Return a response whose body is `value` as JSON."""
        body = json.dumps(value).encode()
        length = ('Content-Length', str(len(body)))
        content_type = ('Content-Type', _JSON_CONTENT_TYPE)
        return cls(status, [body], (length, content_type, *headers))

    def with_headers(self, *pairs):
        """Return a copy of the response with additional headers."""
        return attrs.evolve(self, headers=(*self.headers, *pairs))

    def send(self, start_response):
        """Call `start_response` and return the body."""
        try:
            phrase = http.HTTPStatus(self.status).phrase
        except ValueError:
            phrase = 'Status'
        start_response(f'{self.status} {phrase}', list(self.headers))
        return self.body


def error_response(exc, request_id='', headers=()):
    """Return the JSON response that reports `exc` to the caller.

    Args:
        exc: an `errors.RequestError`.
        request_id: id of the request, for finding its log lines.
        headers: additional pairs of name and value.
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
    """Return the request target for a path that the server decoded.

    Args:
        path: decoded path, each character one byte.
        query: query string as received, or empty.

    Examples:
        >>> make_target('/a b\\r\\n', 'q=1')
        '/a%20b%0D%0A?q=1'
    """
    # A space or line break in the path would end the request line, and the
    # next process would parse the rest as a header or as another request.
    target = urllib.parse.quote(path.encode('latin-1'), _PATH_CHARS)
    if query:
        escaped = urllib.parse.quote(query.encode('latin-1'), _QUERY_CHARS)
        target += '?' + escaped
    return target


def read_body(environ):
    """Return the complete request body.

    Raises:
        errors.InvalidRequestError: the body is shorter than its length.
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body = environ['wsgi.input'].read(length)
    if len(body) != length:
        raise errors.InvalidRequestError(
            'request body is truncated', step='read'
        )
    return body


def read_header(environ, name):
    """Return a request header, or an empty string.

    Examples:
        >>> read_header({'HTTP_IDEMPOTENCY_KEY': 'k'}, 'Idempotency-Key')
        'k'
    """
    return environ.get('HTTP_' + name.upper().replace('-', '_'), '')
