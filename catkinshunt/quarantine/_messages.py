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
        crash: id of the upstream's start that ended in the crash.
        requests: fingerprints.
    """

    kind = 'crash'

    crash: str
    requests: tuple


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


CODEC = datagrams.Codec(
    (CrashReport, Completion, Quarantined), max_bytes=MAX_BYTES
)
dump = CODEC.dump
load = CODEC.load
