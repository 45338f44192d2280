"""Stand-in for the origin of weights and for the weight store."""

import hashlib
import random
import threading
import time

from catkinshunt import httpio
from standins import web

DEFAULT_CHUNK_BYTES = 256 * 1024


class Origin:
    """Serves manifests and byte ranges of model weights.

    Args:
        rate_bytes_per_s: rate of the link; None for no limit.
        refuse_when_busy: answer 429 instead of waiting, as the
            rate-limited weight store does.
        chunk_bytes: size of a chunk.
    """

    def __init__(
        self,
        rate_bytes_per_s=None,
        refuse_when_busy=False,
        chunk_bytes=DEFAULT_CHUNK_BYTES,
    ):
        self.rate_bytes_per_s = rate_bytes_per_s
        self.refuse_when_busy = refuse_when_busy
        self.chunk_bytes = chunk_bytes
        self.bytes_sent = 0
        self._weights = {}
        self._free_at = 0.0
        self._lock = threading.Lock()
        self.app = web.App(
            ('GET', '/models/([^/]+)/([^/]+)/manifest', self._manifest),
            ('GET', '/models/([^/]+)/([^/]+)/weights', self._get),
            ('PUT', '/models/([^/]+)/([^/]+)', self._put),
            ('GET', '/stats', self._stats),
        )

    def publish(self, model, version, size_bytes, seed=0):
        """Make weights of `size_bytes` random bytes from `seed`."""
        data = random.Random(f'{model}/{version}/{seed}').randbytes(size_bytes)
        self._weights[model, version] = data

    def _put(self, call):
        size = int(call.query['size_bytes'])
        self.publish(*call.path, size, call.query.get('seed', 0))
        return httpio.Response(200)

    def _manifest(self, call):
        data = self._weights.get(call.path)
        if data is None:
            return httpio.Response(404)
        step = self.chunk_bytes
        chunks = [
            hashlib.sha256(data[at : at + step]).hexdigest()
            for at in range(0, len(data), step)
        ]
        value = {
            'model': call.path[0],
            'version': call.path[1],
            'size_bytes': len(data),
            'chunk_bytes': step,
            'chunks': chunks,
            'digest': hashlib.sha256(data).hexdigest(),
        }
        return httpio.Response.of_json(200, value)

    def _get(self, call):
        data = self._weights.get(call.path)
        if data is None:
            return httpio.Response(404)
        unit, _, span = call.header('Range').partition('=')
        status = 200
        if unit == 'bytes':
            first, _, last = span.partition('-')
            data = data[int(first) : int(last) + 1]
            status = 206
        wait_s = self._reserve(len(data))
        if wait_s is None:
            return httpio.Response(429, (), (('Retry-After', '1'),))
        time.sleep(wait_s)
        length = ('Content-Length', str(len(data)))
        return httpio.Response(status, [data], (length,))

    def _reserve(self, size):
        """Return seconds until the link has carried `size` more bytes."""
        with self._lock:
            now = time.monotonic()
            if self.rate_bytes_per_s is None:
                self.bytes_sent += size
                return 0.0
            if self.refuse_when_busy and self._free_at > now:
                return None
            begin = max(now, self._free_at)
            self._free_at = begin + size / self.rate_bytes_per_s
            self.bytes_sent += size
            return self._free_at - now

    def _stats(self, _call):
        return httpio.Response.of_json(200, {'bytes_sent': self.bytes_sent})
