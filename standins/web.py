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


class App:
    """A WSGI application made of (method, path pattern, handler) routes."""

    def __init__(self, *routes):
        self.routes = [
            (method, re.compile(pattern), handler)
            for method, pattern, handler in routes
        ]

    def __call__(self, environ, start_response):
        resp = self._handle(environ)
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
