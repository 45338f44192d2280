"""Progress of one request."""

import attrs


@attrs.define
class Progress:
    """Progress of one request.

    Attributes:
        head_sent: the head of the reply was sent to the client.
        is_complete: the whole reply was sent to the client.
        last_event_id: id of the last event relayed, or None.
        can_continue: whether another upstream can send the rest of the reply
            of which the client has a part.
        sends: upstream attempts in which the request was sent.
        sent_to: keys of the upstreams that the request was sent to.
        may_have_run: one of them may have run.
        tried: keys of the upstreams chosen so far, whether or not the request
            was sent there.
        reloading: those of them that were about to load another version.
        wait_until: end of the wait for a configuration and then for an
            eligible upstream, or None; set once per request.
        notes: short texts on each step, for the log field `tries`.
        first_s: seconds to the first byte of the reply, or None.
        entry_wait_s: seconds spent waiting here, for the configuration, an
            upstream or a permit.
        prior_wait_s: seconds that the client had waited in earlier client
            attempts.
    """

    head_sent: bool = False
    is_complete: bool = False
    last_event_id: int | None = None
    can_continue: bool = True
    sends: int = 0
    sent_to: set = attrs.field(factory=set)
    may_have_run: bool = False
    tried: set = attrs.field(factory=set)
    reloading: set = attrs.field(factory=set)
    wait_until: float | None = None
    notes: list = attrs.field(factory=list)
    first_s: float | None = None
    entry_wait_s: float = 0.0
    prior_wait_s: float = 0.0
