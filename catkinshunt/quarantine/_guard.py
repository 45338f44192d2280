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
        count_upstreams: function of the name of a service that returns the
            number of its upstreams.
        is_down: coroutine function of an address that returns whether it
            refuses connections, which shows that its process has ended.
    """

    def __init__(self, gossip, count_upstreams, is_down=refuses_connections):
        self.gossip = gossip
        self.count_upstreams = count_upstreams
        self.is_down = is_down
        self._affected = {}
        self._checks = {}

    @property
    def is_idle(self):
        """Whether no request is suspected or quarantined."""
        return self.gossip.quarantine.is_idle

    def count_quarantined(self):
        """Return the number of quarantined requests."""
        return len(self.gossip.quarantine.all_quarantined(self.gossip.clock()))

    def check(self, traits, has_sidecar):
        """Return the seconds for which a request must not run, or 0.

        The quarantine of a request that still arrives is renewed.

        Args:
            traits: its `Traits`.
            has_sidecar: whether sidecars keep suspects of the service apart.
        """
        request = traits.whole
        now = self.gossip.clock()
        left_s = self.gossip.quarantine.remaining_s(request, now)
        if left_s == 0:
            pause_s = self.gossip.quarantine.pause_s(request, now)
            if has_sidecar:
                return pause_s
            turn_wait_s = self.gossip.quarantine.turn_wait_s(request, now)
            return max(pause_s, turn_wait_s)
        if left_s < _quarantine.QUARANTINE_S * _quarantine.RENEW_SHARE:
            self.gossip.report_quarantine(request, _quarantine.QUARANTINE_S)
        return left_s

    def is_isolated(self, traits):
        """Return whether a request has to run apart from other suspects."""
        return self.gossip.quarantine.is_isolated(traits.whole)

    def record_completion(self, traits):
        """Report that a request was completed."""
        self.gossip.report_completion(traits.whole)

    def record_broken_connection(self, upstream, traits, run_s):
        """Record that the connection of a request was lost.

        Args:
            upstream: the `catalog.Upstream` that ran the request.
            traits: its `Traits`.
            run_s: seconds since the request was sent.
        """
        request = traits.whole
        affected = self._affected.get(upstream.key)
        if affected is not None:
            affected[request] = max(run_s, affected.get(request, 0.0))
            return
        self._affected[upstream.key] = {request: run_s}
        task = asyncio.ensure_future(self._check_crash(upstream))
        self._checks[upstream.key] = task
        task.add_done_callback(lambda _: self._end_check(upstream.key, task))

    def _end_check(self, key, task):
        if self._checks.get(key) is task:
            del self._checks[key]

    async def wait_for_crash_check(self, upstream, traits):
        """Wait until it is known whether an upstream crashed under a suspect.

        A retry before would not count that crash, and might crash another
        upstream.
        """
        task = self._checks.get(upstream.key)
        if task is not None and self.gossip.quarantine.is_suspect(
            traits.whole
        ):
            await asyncio.wait([task])

    async def _check_crash(self, upstream):
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        run_s = self._affected.pop(upstream.key)
        if not await self.is_down(upstream.address):
            return
        _log.info(
            'Upstream {} refuses connections after interrupting {} requests;'
            ' recorded as a crash.',
            upstream.id,
            len(run_s),
            upstream=_identify(upstream),
            requests=sorted(run_s)[:MAX_LOGGED_REQUESTS],
        )
        self.gossip.report_crash(
            _identify(upstream),
            run_s,
            self.count_upstreams(upstream.service),
        )


def _identify(upstream):
    """Return an identifier that all entries compute for an upstream.

    Its start is left out, as entries can know different starts. Crashes of
    one start and the next are told apart by their times.
    """
    host, port = upstream.address
    text = f'{host}:{port}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
