"""Datagrams between entries about the limits of upstreams."""

import attrs

from catkinshunt import datagrams

#: Longest datagram that is decoded; valid ones are below 300 bytes.
MAX_BYTES = 600


@attrs.frozen
class LimitStated:
    """An upstream stated a limit.

    Attributes:
        upstream: its id.
        started_at_ms: its start time in Unix milliseconds, or 0 if unknown.
        host: its IP address.
        port: its port.
        version: as of `StatedLimit`.
        per_s: requests per second that it accepts from all entries together.
        age_s: seconds since it stated that.
        source: name of the entry that got the reply.
    """

    kind = 'limit'

    upstream: str
    started_at_ms: int
    host: str
    port: int
    version: int
    per_s: float
    age_s: float
    source: str


@attrs.frozen
class LimitEnded:
    """An upstream no longer states a limit; fields as in `LimitStated`."""

    kind = 'no-limit'

    upstream: str
    started_at_ms: int
    host: str
    port: int
    version: int
    age_s: float
    source: str


@attrs.frozen
class LimitsRequest:
    """Requests the known limits; sent after a start or a suspend."""

    kind = 'limits?'


CODEC = datagrams.Codec(
    (LimitStated, LimitEnded, LimitsRequest), max_bytes=MAX_BYTES
)
