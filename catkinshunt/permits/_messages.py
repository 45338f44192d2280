"""Messages between entries and sidecars about permits, one per datagram.

A datagram can be lost, duplicated or delayed: entries repeat requests, and
sidecars reconcile the permits in use with the requests at their engine.

The `kind` words are part of the protocol between releases; most differ from
the class names.
"""

import attrs

from catkinshunt import datagrams

#: Longest datagram that is decoded; valid ones are below 200 bytes.
MAX_DATAGRAM_BYTES = 1000

DecodeError = datagrams.DecodeError


@attrs.frozen
class PermitRequest:
    """Requests a permit for one request to the engine.

    Attributes:
        number: identifier, unique per entry.
        wait_s: seconds for which the request can wait for the permit and
            still get its first token in time; 0 if it is late.
        occupancy_s: predicted seconds for which it holds the permit.
        prefill_s: predicted seconds for the prefill of its prompt.
        slots: requests that the engine processes concurrently, as listed in
            the catalog of the entry; the sidecar uses the newest value.
        no_wait: it is granted or rejected at once and never queued. Set once
            another sidecar has replied to the entry, so that a request is
            queued for one engine only.
        late: it cannot be in time and gets only permits that no other
            request needs.
        resumed: its answer broke off at another engine after it had started;
            it goes before all others.
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
class IsolatedPermitRequest(PermitRequest):
    """Requests a permit for a request that may crash the engine.

    Such requests get permits of one engine one after the other, so that a
    crash shows which of them is the cause.
    """

    kind = 'ask-alone'


@attrs.frozen
class PermitRelease:
    """Releases a permit, or withdraws the request for one."""

    kind = 'done'

    number: int


@attrs.frozen
class PermitGranted:
    """Grants a permit.

    Attributes:
        number: identifier of the permit request.
        in_use: permits in use, including this one; the entry takes it as the
            load of the engine.
    """

    kind = 'granted'

    number: int
    in_use: int


@attrs.frozen
class PermitQueued:
    """Confirms that a permit request is queued until it is decided."""

    kind = 'queued'

    number: int


@attrs.frozen
class PermitRejected:
    """Rejects a permit request.

    Attributes:
        number: identifier of the permit request.
        reason: `NO_ROOM` or `RELOADING`.
        retry_after_s: seconds after which the client may retry.
    """

    kind = 'refused'

    number: int
    reason: str
    retry_after_s: float


@attrs.frozen
class EngineLeaving:
    """Rejects a permit request, since the engine is leaving.

    Attributes:
        number: identifier of the permit request.
        started_at_ms: start time of the engine in Unix milliseconds, or 0 if
            unknown; one that started later does not leave.
    """

    kind = 'leaving'

    number: int
    started_at_ms: int


_CODEC = datagrams.Codec(
    (
        PermitRequest,
        IsolatedPermitRequest,
        PermitRelease,
        PermitGranted,
        PermitQueued,
        PermitRejected,
        EngineLeaving,
    ),
    max_bytes=MAX_DATAGRAM_BYTES,
)
dump = _CODEC.dump
load = _CODEC.load
