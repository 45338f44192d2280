"""Metrics, health checks and status on a separate port."""

import time

from catkinshunt import base
from catkinshunt import callers
from catkinshunt import httpio
from catkinshunt.metrics import _caller_metrics
from catkinshunt.metrics import _exposition

#: Share of the memory and the descriptors of a process for its operator port.
OPERATOR_SHARE = 0.1
_OK = 200
_UNAVAILABLE = 503


def start_operator_server(cfg, registry, is_ready, status):
    """Start and return the server for the operator port of a process.

    Args:
        cfg: settings with ``host`` and ``operator_port``.
        registry: as for `OperatorApp`.
        is_ready: as for `OperatorApp`.
        status: as for `OperatorApp`.
    """
    app = OperatorApp(registry, is_ready, status)
    budget = callers.make_caller_budget(
        OPERATOR_SHARE * cfg.memory_mb * _caller_metrics.BYTES_PER_MB,
        int(OPERATOR_SHARE * cfg.max_fds) + callers.RESERVED_DESCRIPTORS,
    )
    server = httpio.HttpServer(
        app, cfg.host, cfg.operator_port, threads=1, budget=budget
    )
    return server.start()


class OperatorApp(base.ParamsMixin):
    """A WSGI application for the operator port.

    ``/metrics`` is for scrapers. ``/health`` reports that the process works;
    ``/ready`` reports that the load balancer may send requests, and returns
    503 as soon as a planned stop begins, before any request is rejected.
    ``/status`` is a JSON object for ``catkinshunt status``.

    It has a separate port, so that callers cannot read metrics or status.

    Args:
        registry: the `Registry` of the process.
        is_ready: function that returns whether requests are accepted.
        status: function that returns the content of ``/status``.
    """

    def __init__(self, registry, is_ready, status):
        self.registry = registry
        self.is_ready = is_ready
        self.status = status

    def __call__(self, environ, start_response):
        return self._answer(environ).send(start_response)

    def _answer(self, environ):
        if environ['REQUEST_METHOD'] not in ('GET', 'HEAD'):
            return httpio.Response.of_json(405, {'error': 'only GET'})
        path = environ['PATH_INFO']
        if path == '/metrics':
            return self._metrics()
        if path == '/health':
            return httpio.Response.of_json(_OK, {'healthy': True})
        if path == '/ready':
            ready = bool(self.is_ready())
            status = _OK if ready else _UNAVAILABLE
            return httpio.Response.of_json(status, {'ready': ready})
        if path == '/status':
            return httpio.Response.of_json(_OK, self.status())
        return httpio.Response.of_json(404, {'error': 'no such page'})

    def _metrics(self):
        content_type, text = _exposition.expose(
            self.registry, time.monotonic()
        )
        headers = (
            ('Content-Type', content_type),
            ('Content-Length', str(len(text))),
        )
        return httpio.Response(_OK, [text], headers)
