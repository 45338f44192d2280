"""A bounded pool of connections to peers."""

import collections
import threading

from catkinshunt import checks
from catkinshunt.peers import _client

MAX_OPEN = 32


class PeerPool:
    """Reuses one `PeerClient` per address; evicts the least recently used.

    A process may call any of thousands of peers over time; without a bound
    it would keep a connection to each.

    Args:
        key: the deployment's key.
        loop: running `LoopThread`.
        max_open: connections kept open; excess ones stay open only while in
            use.
        timeout_s: default timeout of a call, in seconds.
    """

    def __init__(
        self, key, loop, max_open=MAX_OPEN, timeout_s=_client.TIMEOUT_S
    ):
        self.key = key
        self.loop = loop
        self.max_open = max_open
        self.timeout_s = timeout_s
        self._clients = collections.OrderedDict()
        self._lock = threading.Lock()

    def call(self, address, stub_class, method, message, timeout_s=None):
        """Call the peer at `address`; see `PeerClient.call`."""
        with self._lock:
            client = self._get_client(address)
            fut = client.call(stub_class, method, message, timeout_s)
            evicted = self._evict_idle(client)
        for old in evicted:
            old.close()
        return fut

    def close(self):
        """Close all connections."""
        with self._lock:
            clients = list(self._clients.values())
            self._clients.clear()
        for client in clients:
            client.close()

    def _get_client(self, address):
        client = self._clients.pop(address, None)
        if client is None:
            checks.check_positive(self.max_open, 'max_open')
            client = _client.PeerClient(
                address, self.key, self.loop, self.timeout_s
            )
        self._clients[address] = client
        return client

    def _evict_idle(self, newest):
        """Remove and return idle clients above the bound, oldest first."""
        excess = len(self._clients) - self.max_open
        idle = [
            client
            for client in self._clients.values()
            if client is not newest and client.in_flight == 0
        ]
        evicted = idle[: max(0, excess)]
        for client in evicted:
            del self._clients[client.address]
        return evicted
