"""Detects upstream crashes and checks requests against the quarantine."""

import asyncio
import collections
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
#: Most prompt parts in it, each with the number of requests that had it.
MAX_LOGGED_PARTS = 10
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
        self._ended_at_close = {}
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
        now = self.gossip.clock()
        longest_s = 0.0
        for trait in traits:
            left_s = self.gossip.quarantine.remaining_s(trait, now)
            longest_s = max(longest_s, left_s)
            if 0 < left_s < _quarantine.QUARANTINE_S * _quarantine.RENEW_SHARE:
                self.gossip.report_quarantine(trait, _quarantine.QUARANTINE_S)
        return longest_s or self._wait_s(traits, has_sidecar, now)

    def _wait_s(self, traits, has_sidecar, now):
        """Return the seconds for which a suspect must not run, or 0."""
        pause_s = self.gossip.quarantine.pause_s(traits.whole, now)
        if not has_sidecar:
            turn_wait_s = self.gossip.quarantine.turn_wait_s(traits.whole, now)
            pause_s = max(pause_s, turn_wait_s)
        if pause_s > 0:
            return pause_s
        held = self.gossip.quarantine.find_held(traits)
        if not held:
            return 0.0
        return self.gossip.quarantine.trial_wait_s(traits, held, now)

    def begin_trial(self, traits):
        """Let a request that is being sent run on trial of its held parts.

        Others with them wait meanwhile, so it must be about to reach an
        upstream. `check` must have returned 0.

        Args:
            traits: its `Traits`.
        """
        held = self.gossip.quarantine.find_held(traits)
        if held:
            self.gossip.report_trial(traits.whole, held)

    def explain(self, traits):
        """Return the trait for which `check` refused a request, or None."""
        now = self.gossip.clock()
        known = self.gossip.quarantine
        for trait in traits:
            if known.remaining_s(trait, now) > 0:
                return trait
        pause_s = known.pause_s(traits.whole, now)
        if max(pause_s, known.turn_wait_s(traits.whole, now)) > 0:
            return traits.whole
        held = known.find_held(traits)
        if held and known.trial_wait_s(traits, held, now) > 0:
            return held[0]
        return None

    def is_isolated(self, traits):
        """Return whether a request has to run apart from other suspects."""
        return self.gossip.quarantine.must_run_apart(traits)

    def record_completion(self, traits):
        """Report that a request was completed."""
        self.gossip.report_completions(traits)

    def record_broken_connection(self, upstream, traits, run_s):
        """Record that the connection of a request was lost.

        Args:
            upstream: the `catalog.Upstream` that ran the request.
            traits: its `Traits`.
            run_s: seconds since the request was sent.
        """
        affected = self._affected.get(upstream.key)
        if affected is not None:
            affected[traits] = max(run_s, affected.get(traits, 0.0))
            return
        self._affected[upstream.key] = {traits: run_s}
        task = asyncio.ensure_future(self._check_crash(upstream))
        self._checks[upstream.key] = task
        task.add_done_callback(lambda _: self._end_check(upstream.key, task))

    def record_end_at_close(self, upstream, traits, run_s):
        """Record a reply that seems whole and ended with its connection.

        An upstream that crashed may have ended it. The request counts as
        completed once the upstream is known to be running.

        Args:
            upstream: the `catalog.Upstream` that ran the request.
            traits: its `Traits`.
            run_s: seconds since the request was sent.
        """
        self.record_broken_connection(upstream, traits, run_s)
        self._ended_at_close.setdefault(upstream.key, set()).add(traits)

    def _end_check(self, key, task):
        if self._checks.get(key) is task:
            del self._checks[key]

    async def wait_for_crash_check(self, upstream, traits):
        """Wait until it is known whether an upstream crashed under a request.

        A retry before would not count that crash, and might crash another
        upstream.

        Args:
            upstream: the `catalog.Upstream` that ran the request.
            traits: its `Traits`, of which all wait alike.
        """
        task = self._checks.get(upstream.key)
        if task is not None:
            await asyncio.wait([task])

    async def _check_crash(self, upstream):
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        run_s = self._affected.pop(upstream.key)
        ended = self._ended_at_close.pop(upstream.key, ())
        if not await self.is_down(upstream.address):
            for traits in ended:
                self.record_completion(traits)
            return
        _log.info(
            'Upstream {} refuses connections after interrupting {} requests;'
            ' recorded as a crash.',
            upstream.id,
            len(run_s),
            upstream=_identify(upstream),
            requests=sorted(t.whole for t in run_s)[:MAX_LOGGED_REQUESTS],
            parts=_count_parts(run_s)[:MAX_LOGGED_PARTS],
        )
        self.gossip.report_crash(
            _identify(upstream),
            {traits.whole: seconds for traits, seconds in run_s.items()},
            self.count_upstreams(upstream.service),
            parts={t.whole: t.parts for t in run_s if t.parts},
        )


def _count_parts(requests):
    """Return how many requests have each part, the most common ones first.

    Args:
        requests: `Traits` of requests.

    Returns:
        Strings such as '12 of 4f..'.
    """
    counts = collections.Counter(p for each in requests for p in each.parts)
    return [f'{count} of {part}' for part, count in counts.most_common()]


def _identify(upstream):
    """Return an identifier that all entries compute for an upstream.

    Its start is left out, as entries can know different starts. Crashes of
    one start and the next are told apart by their times.
    """
    host, port = upstream.address
    text = f'{host}:{port}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
