"""Engines that take orders over HTTP."""

import http.client
import json

import attrs

from catkinshunt.engines import base
from catkinshunt import errors
from catkinshunt import httpio

LOAD_TIMEOUT_S = 600.0


class HttpEngine(base.BaseEngine):
    """An engine reached by HTTP.

    Args:
        address: `httpio.Address` of the engine.
        timeout_s: longest wait for a load.
    """

    def __init__(self, address, timeout_s=LOAD_TIMEOUT_S):
        self.address = address
        self.timeout_s = timeout_s

    def load(self, order):
        body = json.dumps({'order': 'load', **attrs.asdict(order)}).encode()
        try:
            reply = httpio.exchange(
                self.address,
                'POST',
                '/orders',
                body,
                timeout_s=self.timeout_s,
            )
        except errors.RequestError as exc:
            raise errors.OrderError(
                exc.message, step='load', peer=str(self.address)
            ) from exc
        if reply.status == http.client.CONFLICT:
            raise errors.StaleFencingError(
                f'number {order.fencing_number} is older than one seen',
                step='load',
                peer=str(self.address),
            )
        if reply.status != http.client.OK:
            raise errors.OrderError(
                f'status {reply.status}', step='load', peer=str(self.address)
            )
