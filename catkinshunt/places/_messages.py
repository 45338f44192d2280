"""What entries and sidecars tell each other about places, as datagrams.

All can be lost, doubled or late: an entry asks again, and a sidecar puts its
count right by what its engine reports.
"""

import attrs

from catkinshunt import datagrams

#: Longest datagram that is read; ours are below 200 bytes.
MOST_BYTES = 1000

DecodeError = datagrams.DecodeError


@attrs.frozen
class PermitRequest:
    """An entry asks for a place for one request.

    Attributes:
        number: names the ask among those of its entry.
        wait_s: seconds for which the request may wait for the place and
            still get its first token in time; 0 for one that is late.
        occupancy_s: seconds that it is likely to hold the place.
        prefill_s: seconds that its prompt takes the engine to read.
        slots: requests that the engine works on at once.
        probe: it wants a place now or an answer at once, and does not wait.
        late: it cannot be in time; it takes a place that nobody else wants.
        moving: its answer has begun elsewhere and broken off, so it goes
            before all others.
    """

    kind = 'ask'

    number: int
    wait_s: float
    occupancy_s: float
    prefill_s: float
    slots: int
    no_wait: bool = False
    late: bool = False
    resumed: bool = False


@attrs.frozen
class PermitRelease:
    """An entry gives a place back, or no longer wants one."""

    kind = 'done'

    number: int


@attrs.frozen
class PermitGranted:
    """A sidecar gives a place.

    Attributes:
        number: of the ask.
        held: places that are taken now, this one too.
    """

    kind = 'granted'

    number: int
    in_use: int


@attrs.frozen
class PermitQueued:
    """A sidecar keeps the ask until a place is free, or its time is over."""

    kind = 'queued'

    number: int


@attrs.frozen
class PermitRejected:
    """A sidecar has no place.

    Attributes:
        number: of the ask.
        reason: why, a word.
        retry_after_s: seconds after which there is likely to be one.
    """

    kind = 'refused'

    number: int
    reason: str
    retry_after_s: float


_CODEC = datagrams.Codec(
    (
        PermitRequest,
        PermitRelease,
        PermitGranted,
        PermitQueued,
        PermitRejected,
    ),
    max_bytes=MOST_BYTES,
)
dump = _CODEC.dump
load = _CODEC.load
