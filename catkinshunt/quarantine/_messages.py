"""Datagrams between entries about requests that crash upstreams."""

import attrs

from catkinshunt import datagrams

#: Longest datagram that is decoded.
MAX_BYTES = 1200
#: Most requests in one message; a fingerprint has 32 characters.
MAX_REQUESTS = 24
#: Bytes of a request with its time and number of parts, of a part, and of the
#: number of a part, at most; and of all of them in one message.
_REQUEST_BYTES, _PART_BYTES, _NUMBER_BYTES = 45, 35, 3
_MAX_LIST_BYTES = 1100


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
class PartsCrashReport:
    """An upstream crashed while it ran these requests with their parts.

    Attributes:
        upstream: identifier of the upstream.
        requests: fingerprints.
        run_ms: milliseconds from when each of them was sent to the crash.
        parts: fingerprints of parts, each once.
        part_numbers: for each request the number of its parts, then their
            places in `parts`.
        service_size: number of upstreams of the service.
        ago_s: seconds since the crash.
    """

    kind = 'crash-parts'

    upstream: str
    requests: tuple
    run_ms: datagrams.IntTuple
    parts: tuple
    part_numbers: datagrams.IntTuple
    service_size: int
    ago_s: float

    def __attrs_post_init__(self):
        if len(self.requests) != len(self.run_ms):
            raise ValueError(
                f'{len(self.requests)} requests with {len(self.run_ms)} runs'
            )
        if len(self._numbers()) != len(self.requests):
            raise ValueError(f'{len(self.requests)} requests with other parts')
        if any(n >= len(self.parts) for ns in self._numbers() for n in ns):
            raise ValueError(f'a part that is not among {len(self.parts)}')

    def _numbers(self):
        found = []
        left = list(self.part_numbers)
        while left:
            count = left[0]
            if len(left) <= count:
                raise ValueError('numbers of parts are missing')
            found.append(left[1 : count + 1])
            left = left[count + 1 :]
        return found

    @property
    def run_s(self):
        """Seconds from when each request was sent, by fingerprint."""
        seconds = (run_ms / 1000.0 for run_ms in self.run_ms)
        return dict(zip(self.requests, seconds))

    @property
    def parts_of(self):
        """Parts of each request that has some, by fingerprint."""
        return {
            request: tuple(self.parts[number] for number in numbers)
            for request, numbers in zip(self.requests, self._numbers())
            if numbers
        }


@attrs.frozen
class Completion:
    """A suspected request was completed by an upstream."""

    kind = 'completion'

    request: str


@attrs.frozen
class Completions:
    """A request with several suspected traits was completed."""

    kind = 'completions'

    traits: tuple


@attrs.frozen
class Trial:
    """A request runs on trial of its suspected parts; others wait."""

    kind = 'trial'

    request: str
    parts: tuple


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


def split_crash_report(upstream, run_s, service_size, ago_s, parts=None):
    """Yield messages on a crash that each fit into a datagram.

    Args:
        upstream: identifier of the upstream.
        run_s: seconds from when each request was sent, by fingerprint.
        service_size: number of upstreams of the service.
        ago_s: seconds since the crash.
        parts: parts of each request that has some, by fingerprint.
    """
    parts = parts or {}
    for some in _group_by_size({r: parts[r] for r in run_s if r in parts}):
        numbers = {}
        for request in some:
            for part in parts[request]:
                numbers.setdefault(part, len(numbers))
        part_numbers = []
        for request in some:
            found = [numbers[part] for part in parts[request]]
            part_numbers += [len(found), *found]
        yield PartsCrashReport(
            upstream,
            tuple(some),
            tuple(round(1000 * run_s[request]) for request in some),
            tuple(numbers),
            tuple(part_numbers),
            service_size,
            round(max(0.0, ago_s), 3),
        )
    items = [item for item in run_s.items() if item[0] not in parts]
    for begin in range(0, len(items), MAX_REQUESTS):
        part = items[begin : begin + MAX_REQUESTS]
        yield CrashReport(
            upstream,
            tuple(request for request, _ in part),
            tuple(round(1000 * seconds) for _, seconds in part),
            service_size,
            round(max(0.0, ago_s), 3),
        )


def _group_by_size(parts):
    """Yield lists of the requests that fit into one datagram."""
    group, known, size = [], set(), 0
    for request, found in parts.items():
        new = set(found) - known
        cost = _REQUEST_BYTES + _NUMBER_BYTES * len(found)
        if group and size + cost + _PART_BYTES * len(new) > _MAX_LIST_BYTES:
            yield group
            group, known, size = [], set(), 0
            new = set(found)
        group.append(request)
        known |= new
        size += cost + _PART_BYTES * len(new)
    if group:
        yield group


CODEC = datagrams.Codec(
    (
        CrashReport,
        PartsCrashReport,
        Completion,
        Completions,
        Quarantined,
        StateRequest,
        Trial,
    ),
    max_bytes=MAX_BYTES,
)
dump = CODEC.dump
load = CODEC.load
