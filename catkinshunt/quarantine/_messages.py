"""What entries tell each other about requests that crash upstreams."""

import attrs

from catkinshunt import datagrams

#: Longest datagram that is read.
MOST_BYTES = 1200
#: Requests that one message names; a fingerprint has 32 characters.
MOST_REQUESTS = 24


@attrs.frozen
class CrashReport:
    """An upstream crashed while it had these requests.

    Attributes:
        crash: names the start of the upstream that ended.
        requests: fingerprints.
    """

    kind = 'crash'

    crash: str
    requests: tuple


@attrs.frozen
class Completion:
    """A suspected request ran to its end."""

    kind = 'completion'

    request: str


@attrs.frozen
class Quarantined:
    """A request must not be run.

    Attributes:
        request: its fingerprint.
        left_s: seconds for which that holds.
    """

    kind = 'quarantined'

    request: str
    left_s: float


_CODEC = datagrams.Codec(
    (CrashReport, Completion, Quarantined), max_bytes=MOST_BYTES
)
dump = _CODEC.dump
load = _CODEC.load
