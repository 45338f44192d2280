"""Routes requests of a stand-in to its methods."""

import json
import re
import urllib.parse

import attrs

from catkinshunt import httpio


@attrs.frozen
class Call:
    """One request as a stand-in's handler sees it."""

    path: tuple
    query: dict
    body: bytes
    environ: dict

    def json(self):
        """Return the body read as JSON."""
        return json.loads(self.body)

    def header(self, name, default=''):
        """Return a request header, or `default`."""
        key = 'HTTP_' + name.upper().replace('-', '_')
        return self.environ.get(key, default)


@attrs.define
class Statements:
    """What a stand-in for an upstream states in its answers.

    Attributes:
        is_leaving: whether it says that it leaves (`Server-Leaving`).
        back_off_s: seconds of `Retry-After` with which it turns each request
            away; None if it does not.
    """

    is_leaving: bool = False
    back_off_s: float | None = None

    def rejection(self):
        """Return the `httpio.Response` to all requests now, or None."""
        if self.back_off_s is None:
            return None
        items = (('Retry-After', f'{self.back_off_s:g}'),)
        return httpio.Response(503, headers=items)

    def items(self):
        """Return the headers of each answer."""
        return (('Server-Leaving', '1'),) if self.is_leaving else ()


class App:
    """A WSGI application made of (method, path pattern, handler) routes.

    Args:
        routes: the routes.
        statements: what its answers state, or None.
    """

    def __init__(self, *routes, statements=None):
        self.statements = statements or Statements()
        self.routes = [
            (method, re.compile(pattern), handler)
            for method, pattern, handler in routes
        ]

    def __call__(self, environ, start_response):
        resp = self.statements.rejection() or self._handle(environ)
        resp = resp.with_headers(*self.statements.items())
        return resp.send(start_response)

    def _handle(self, environ):
        path = environ['PATH_INFO']
        for method, pattern, handler in self.routes:
            match = pattern.fullmatch(path)
            if match and method == environ['REQUEST_METHOD']:
                query = urllib.parse.parse_qsl(environ['QUERY_STRING'])
                body = httpio.read_body(environ)
                call = Call(match.groups(), dict(query), body, environ)
                return handler(call)
        return httpio.Response.of_json(404, {'error': path})
