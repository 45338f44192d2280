"""Tells crashes of upstreams from broken connections, and who caused them."""

import asyncio
import hashlib

from catkinshunt import logs
from catkinshunt.quarantine import _quarantine

#: Seconds in which the broken requests of one upstream are gathered, and
#: after which it is looked whether it still listens.
GATHER_S = 0.05
#: Seconds within which a connection is made or refused.
CONNECT_S = 0.5
#: Requests that the line of a crash names at most.
MOST_NAMED = 20
_DIGEST_BYTES = 8

_log = logs.get_logger('quarantine')


async def refuses_connections(address):
    """Return whether nothing listens at (host, port) any more.

    A connection that is neither made nor refused proves nothing: the path to
    the instance may be cut.
    """
    try:
        async with asyncio.timeout(CONNECT_S):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False


class Guard:
    """What an entry asks and tells about requests that crash upstreams.

    A connection may be reset while its upstream goes on; a request that had
    it must not be suspected. So the upstream is asked for a new connection,
    once for all requests that broke off at the same moment.

    Args:
        gossip: `Gossip` that is told of crashes and completions.
        is_down: coroutine function of an address that returns whether its
            process has ended.
    """

    def __init__(self, gossip, is_down=refuses_connections):
        self.gossip = gossip
        self.is_down = is_down
        self._broken = {}
        self._tasks = set()

    @property
    def is_idle(self):
        """Whether no request is suspected or barred."""
        return self.gossip.quarantine.is_idle

    def count_quarantined(self):
        """Return the number of requests that are barred."""
        return len(self.gossip.quarantine.all_quarantined(self.gossip.wall()))

    def check(self, request):
        """Return the seconds for which a request must not run, or 0.

        One that is barred and still comes is barred for the whole time again.
        """
        now = self.gossip.wall()
        left_s = self.gossip.quarantine.remaining_s(request, now)
        if left_s == 0:
            return self.gossip.quarantine.turn_s(request, now)
        if left_s < _quarantine.QUARANTINE_S * _quarantine.RENEW_SHARE:
            self.gossip.add(request, _quarantine.QUARANTINE_S)
        return left_s

    def note_completion(self, request):
        """Note that a request ran to its end."""
        self.gossip.report_completion(request)

    def note_break(self, upstream, request):
        """Note that the connection of a request broke off.

        Args:
            upstream: the `catalog.Upstream` that had the request.
            request: its fingerprint.
        """
        if upstream.key in self._broken:
            self._broken[upstream.key].add(request)
            return
        self._broken[upstream.key] = {request}
        task = asyncio.ensure_future(self._look(upstream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _look(self, upstream):
        await asyncio.sleep(GATHER_S)
        requests = sorted(self._broken.pop(upstream.key))
        if not await self.is_down(upstream.address):
            return
        _log.info(
            'Upstream {} crashed with {} requests.',
            upstream.id,
            len(requests),
            requests=requests[:MOST_NAMED],
        )
        self.gossip.report_crash(_name_crash(upstream), requests)


def _name_crash(upstream):
    """Return a text that is equal in all processes for this start."""
    host, port = upstream.address
    text = f'{upstream.id}\0{upstream.started_at_ms}\0{host}:{port}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
