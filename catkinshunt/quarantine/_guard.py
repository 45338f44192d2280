"""Detects upstream crashes and checks requests against the quarantine."""

import asyncio
import hashlib

from catkinshunt import logs
from catkinshunt.quarantine import _quarantine

#: Seconds in which the interrupted requests of one upstream are collected
#: before it is probed.
CRASH_CHECK_DELAY_S = 0.05
#: Connect timeout of the probe, in seconds.
CONNECT_TIMEOUT_S = 0.5
#: Most requests in the log line of a crash.
MAX_LOGGED_REQUESTS = 20
_DIGEST_BYTES = 8

_log = logs.get_logger('quarantine')


async def refuses_connections(address):
    """Return whether (host, port) refuses connections.

    A timeout does not prove a crash: the network path may be interrupted.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False


class Guard:
    """Quarantine as seen by the gateway of one entry.

    A connection can be lost although its upstream is running; its request
    must not be suspected then. So a crash is reported only if the upstream
    refuses a new connection. One probe covers all requests that were
    interrupted at the same time.

    Args:
        gossip: `Gossip` to report crashes and completions to.
        is_down: coroutine function of an address that returns whether it
            refuses connections, which shows that its process has ended.
    """

    def __init__(self, gossip, is_down=refuses_connections):
        self.gossip = gossip
        self.is_down = is_down
        self._affected = {}
        self._tasks = set()

    @property
    def is_idle(self):
        """Whether no request is suspected or quarantined."""
        return self.gossip.quarantine.is_idle

    def count_quarantined(self):
        """Return the number of quarantined requests."""
        return len(self.gossip.quarantine.all_quarantined(self.gossip.clock()))

    def check(self, request):
        """Return the seconds for which a request must not run, or 0.

        The quarantine of a request that still arrives is renewed.
        """
        now = self.gossip.clock()
        left_s = self.gossip.quarantine.remaining_s(request, now)
        if left_s == 0:
            return self.gossip.quarantine.turn_wait_s(request, now)
        if left_s < _quarantine.QUARANTINE_S * _quarantine.RENEW_SHARE:
            self.gossip.report_quarantine(request, _quarantine.QUARANTINE_S)
        return left_s

    def record_completion(self, request):
        """Report that a request was completed."""
        self.gossip.report_completion(request)

    def record_broken_connection(self, upstream, request):
        """Record that the connection of a request was lost.

        Args:
            upstream: the `catalog.Upstream` that ran the request.
            request: its fingerprint.
        """
        if upstream.key in self._affected:
            self._affected[upstream.key].add(request)
            return
        self._affected[upstream.key] = {request}
        task = asyncio.ensure_future(self._check_crash(upstream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_crash(self, upstream):
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        requests = sorted(self._affected.pop(upstream.key))
        if not await self.is_down(upstream.address):
            return
        _log.info(
            'Upstream {} refuses connections after interrupting {} requests;'
            ' recorded as a crash.',
            upstream.id,
            len(requests),
            requests=requests[:MAX_LOGGED_REQUESTS],
        )
        self.gossip.report_crash(_crash_id(upstream), requests)


def _crash_id(upstream):
    """Return an id that all entries compute for a crash of this start."""
    host, port = upstream.address
    text = f'{upstream.id}\0{upstream.started_at_ms}\0{host}:{port}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
