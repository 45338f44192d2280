"""Client of model engines over HTTP."""

import http.client
import json
import time

import attrs

from catkinshunt import checks
from catkinshunt.engines import base
from catkinshunt import errors
from catkinshunt import httpio

LOAD_TIMEOUT_S = 600.0
REPORT_TIMEOUT_S = 2.0


class HttpEngine(base.BaseEngine):
    """Sends orders to an engine over HTTP.

    Args:
        address: `httpio.Address` of the engine.
        timeout_s: timeout of a load, in seconds.
        status: `httpio.UpstreamStatus` of the engine, or None.
    """

    def __init__(self, address, timeout_s=LOAD_TIMEOUT_S, status=None):
        self.address = address
        self.timeout_s = timeout_s
        self.status = status or httpio.UpstreamStatus()

    def load(self, order):
        body = json.dumps({'order': 'load', **attrs.asdict(order)}).encode()
        reply = self._exchange('load', '/orders', body, self.timeout_s)
        if reply.status == http.client.CONFLICT:
            raise errors.StaleFencingError(
                f'fencing number {order.fencing_number} is stale',
                step='load',
                peer=str(self.address),
            )
        self._check_status('load', reply)

    def report(self):
        reply = self._exchange('report', '/state', None, REPORT_TIMEOUT_S)
        self._check_status('report', reply)
        try:
            return dict(checks.load_json(reply.body)['models'])
        except (ValueError, KeyError, TypeError) as exc:
            raise errors.OrderError(
                f'invalid state reply: {exc!r}',
                step='report',
                peer=str(self.address),
            ) from exc

    def _exchange(self, step, path, body, timeout_s):
        method = 'GET' if body is None else 'POST'
        peer = str(self.address)
        try:
            self.status.check_back_off(time.monotonic(), step, peer)
            reply = httpio.exchange(
                self.address, method, path, body, timeout_s=timeout_s
            )
        except errors.RequestError as exc:
            raise errors.OrderError(exc.message, step=step, peer=peer) from exc
        self.status.observe(reply.status, reply.headers.get, time.monotonic())
        return reply

    def _check_status(self, step, reply):
        if reply.status != http.client.OK:
            raise errors.OrderError(
                f'unexpected status {reply.status}',
                step=step,
                peer=str(self.address),
            )
