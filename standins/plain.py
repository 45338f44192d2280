"""Stand-in for the plain services beside the model engines."""

import collections
import threading
import time

from catkinshunt import httpio
from standins import web


class PlainService:
    """Takes bookings, which must not be repeated, and reads of stock.

    Args:
        work_s: seconds that each call takes.
    """

    def __init__(self, work_s=0.0):
        self.work_s = work_s
        self.bookings = collections.Counter()
        self._lock = threading.Lock()
        #: Whether its answers say Server-Leaving and Retry-After.
        self.statements = web.Statements()
        self.app = web.App(
            ('POST', '/bookings', self._book),
            ('GET', '/bookings', self._list),
            ('GET', '/stock', self._stock),
            statements=self.statements,
        )

    def _book(self, call):
        order = call.json()['order']
        if self.work_s:
            time.sleep(self.work_s)
        with self._lock:
            self.bookings[order] += 1
        return httpio.Response.of_json(201, {'booked': order})

    def _list(self, _call):
        return httpio.Response.of_json(200, dict(self.bookings))

    def _stock(self, _call):
        return httpio.Response.of_json(200, {'stock': 12})
