"""Datagrams between entries about requests that crash upstreams."""

import attrs

from catkinshunt import datagrams

#: Longest datagram that is decoded.
MAX_BYTES = 1200
#: Most requests in one message; a fingerprint has 32 characters.
MAX_REQUESTS = 24


@attrs.frozen
class CrashReport:
    """An upstream crashed while it ran these requests.

    Attributes:
        upstream: identifier of the upstream.
        requests: fingerprints.
        run_ms: milliseconds from when each of them was sent to the crash.
        service_size: number of upstreams of the service.
        ago_s: seconds since the crash.
    """

    kind = 'crash'

    upstream: str
    requests: tuple
    run_ms: datagrams.IntTuple
    service_size: int
    ago_s: float

    def __attrs_post_init__(self):
        if len(self.requests) != len(self.run_ms):
            raise ValueError(
                f'{len(self.requests)} requests with {len(self.run_ms)} runs'
            )

    @property
    def run_s(self):
        """Seconds from when each request was sent, by fingerprint."""
        seconds = (run_ms / 1000.0 for run_ms in self.run_ms)
        return dict(zip(self.requests, seconds))


@attrs.frozen
class Completion:
    """A suspected request was completed by an upstream."""

    kind = 'completion'

    request: str


@attrs.frozen
class Quarantined:
    """A request is quarantined.

    Attributes:
        request: its fingerprint.
        left_s: remaining time of the quarantine, in seconds.
    """

    kind = 'quarantined'

    request: str
    left_s: float


@attrs.frozen
class StateRequest:
    """An entry has started, and asks what it missed."""

    kind = 'ask'


def split_crash_report(upstream, run_s, service_size, ago_s):
    """Yield `CrashReport` messages that each fit into a datagram.

    Args:
        upstream: identifier of the upstream.
        run_s: seconds from when each request was sent, by fingerprint.
        service_size: number of upstreams of the service.
        ago_s: seconds since the crash.
    """
    items = list(run_s.items())
    for begin in range(0, len(items), MAX_REQUESTS):
        part = items[begin : begin + MAX_REQUESTS]
        yield CrashReport(
            upstream,
            tuple(request for request, _ in part),
            tuple(round(1000 * seconds) for _, seconds in part),
            service_size,
            round(max(0.0, ago_s), 3),
        )


CODEC = datagrams.Codec(
    (CrashReport, Completion, Quarantined, StateRequest),
    max_bytes=MAX_BYTES,
)
dump = CODEC.dump
load = CODEC.load
