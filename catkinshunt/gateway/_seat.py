"""Takes a place at an engine for one try of a request."""

from catkinshunt import dispatch
from catkinshunt import places

#: Seconds for which a stream that broke off waits for a place elsewhere; its
#: caller leaves after a longer pause.
MOVE_WAIT_S = 0.2


async def take_place(context, engine, candidate, job, waited_s, goal_s):
    """Return a `places.Place`, or None where none is needed or given out.

    Args:
        context: `Context` of the gateway.
        engine: `catalog.EngineProfile` of the service.
        candidate: the `dispatch.Candidate` that was chosen.
        job: `dispatch.Job` that is to be sent.
        waited_s: seconds that the caller has waited; None for a stream that
            broke off and goes on here.
        goal_s: seconds after which its first token is late.

    Raises:
        places.NoPlaceError: there is no place in time.
        places.ReloadingError: the engine is about to load another version.
    """
    upstream, state = candidate.upstream, candidate.state
    host = upstream.address[0]

    def make_ask(number):
        return _make_ask(number, engine, upstream, job, waited_s, goal_s)

    state.asking += 1
    try:
        place = await context.places.take(host, make_ask)
    except places.NoPlaceError:
        _note_load(state, upstream.slots, 1, upstream.slots, context)
        raise
    finally:
        state.asking -= 1
    if place is not None:
        _note_load(state, place.held, 0, upstream.slots, context)
    return place


def _make_ask(number, engine, upstream, job, waited_s, goal_s):
    moving = waited_s is None
    if moving:
        wait_s = MOVE_WAIT_S
    else:
        wait_s = goal_s - waited_s - dispatch.first_token_s(engine, job)
    return places.Ask(
        number=number,
        wait_s=round(max(0.0, wait_s), 3),
        lasts_s=round(dispatch.lasts_s(engine, job), 3),
        slots=upstream.slots,
        late=wait_s <= 0,
        moving=moving,
    )


def _note_load(state, running, waiting, slots, context):
    """Take over what the sidecar told of its engine."""
    load = dispatch.Load(running, waiting, slots)
    state.report(load, context.clock())
