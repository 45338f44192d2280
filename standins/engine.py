"""Stand-in for a model engine."""

import collections
import hashlib
import json
import threading
import time

from catkinshunt import errors
from catkinshunt import httpio
from standins import web


def answer_pieces(model, version, prompt, count):
    """Return the pieces that any engine gives for `prompt`.

    The same model version gives the same pieces, so that a reader can tell
    whether an answer is whole and its own.
    """
    seed = hashlib.sha256(f'{model}/{version}/{prompt}'.encode()).hexdigest()
    return [f'{seed[:8]}-{index} ' for index in range(count)]


class Engine:
    """Loads weights on order and streams answers.

    Args:
        refuse_stale: refuse an order with an older fencing number.
        piece_s: seconds between pieces.
        slots: requests served at a time; more of them wait.
    """

    def __init__(self, refuse_stale=True, piece_s=0.0, slots=8):
        self.refuse_stale = refuse_stale
        self.piece_s = piece_s
        self.served = collections.Counter()
        self.orders = []
        self._models = {}
        self._fencing_number = 0
        self._cancelled = set()
        self._active = 0
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(slots)
        #: Whether its answers say Server-Leaving and Retry-After.
        self.statements = web.Statements()
        self.app = web.App(
            ('POST', '/generate', self._generate),
            ('POST', '/cancel', self._cancel),
            ('POST', '/orders', self._order),
            ('GET', '/state', self._state),
            statements=self.statements,
        )

    def restart(self):
        """Forget all models, orders and fencing numbers."""
        with self._lock:
            self._models.clear()
            self.orders.clear()
            self._fencing_number = 0

    def _order(self, call):
        order = call.json()
        number = order['fencing_number']
        with self._lock:
            if number < self._fencing_number and self.refuse_stale:
                return httpio.Response.of_json(
                    409, {'fencing_number': self._fencing_number}
                )
            self._fencing_number = max(number, self._fencing_number)
        digest = self._pull(order['weights_url'])
        if digest != order['digest']:
            return httpio.Response.of_json(422, {'digest': digest})
        with self._lock:
            if number < self._fencing_number and self.refuse_stale:
                return httpio.Response(409)
            self._models[order['model']] = order['version']
            self.orders.append(order)
        return httpio.Response.of_json(200, {'loaded': order['version']})

    def _pull(self, weights_url):
        """Return the digest of the weights read from `weights_url`."""
        _, _, rest = weights_url.partition('://')
        address, _, path = rest.partition('/')
        try:
            reply = httpio.exchange(
                httpio.Address.parse(address), 'GET', '/' + path
            )
        except errors.RequestError:
            return None
        if reply.status != 200:
            return None
        return hashlib.sha256(reply.body).hexdigest()

    def _generate(self, call):
        req = call.json()
        model = req['model']
        version = self._models.get(model)
        if version is None:
            return httpio.Response.of_json(404, {'error': 'model not loaded'})
        headers = (
            ('Content-Type', 'application/x-ndjson'),
            ('Model-Version', version),
        )
        return httpio.Response(200, self._stream(req, version), headers)

    def _stream(self, req, version):
        count = req.get('max_pieces', 8)
        pieces = answer_pieces(req['model'], version, req['prompt'], count)
        request_id = req.get('request_id', '')
        self._active += 1
        try:
            with self._slots:
                for index in range(req.get('resume_from', 0), count):
                    if self.piece_s:
                        time.sleep(self.piece_s)
                    if request_id in self._cancelled:
                        return
                    yield _line({'index': index, 'text': pieces[index]})
                self.served[version] += 1
                yield _line({'done': True, 'pieces': count})
        finally:
            self._active -= 1

    def _cancel(self, call):
        self._cancelled.add(call.json()['request_id'])
        return httpio.Response(200)

    def _state(self, _call):
        value = {
            'models': self._models,
            'fencing_number': self._fencing_number,
            'active': self._active,
        }
        return httpio.Response.of_json(200, value)


def _line(value):
    return json.dumps(value).encode() + b'\n'
