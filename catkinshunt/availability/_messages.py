"""Datagrams between entries about upstreams that leave."""

import attrs

from catkinshunt import datagrams

#: Longest datagram that is decoded; valid ones are below 300 bytes.
MAX_BYTES = 600


@attrs.frozen
class LeaveStated:
    """An upstream stated that it leaves.

    Attributes:
        upstream: its id.
        started_at_ms: its start time in Unix milliseconds, or 0 if unknown.
        host: its IP address.
        port: its port.
        age_s: seconds since it stated that.
        source: name of the entry that got the reply.
    """

    kind = 'leaving'

    upstream: str
    started_at_ms: int
    host: str
    port: int
    age_s: float
    source: str


@attrs.frozen
class LeavesRequest:
    """Requests the known leaves; sent after a start or a suspend."""

    kind = 'leaving?'


CODEC = datagrams.Codec((LeaveStated, LeavesRequest), max_bytes=MAX_BYTES)
