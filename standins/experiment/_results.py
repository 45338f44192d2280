"""What came of a play, and what could have come of it."""

import attrs

from standins.experiment import _engines


@attrs.frozen
class Summary:
    """Shares of the requests of a play.

    Attributes:
        in_time: answered, the first token within its goal.
        late: answered later.
        refused: refused for good.
        left: their callers left, or their time was over.
        held_s: mean time for which those refused were held.
    """

    in_time: float
    late: float
    refused: float
    left: float
    held_s: float


def summarize(requests, begin=0.0, end=float('inf')):
    """Return the `Summary` of those that first asked in a span of time."""
    chosen = [r for r in requests if begin <= r.born < end]
    count = len(chosen) or 1
    answered = [r for r in chosen if r.outcome == 'answered']
    in_time = sum(r.is_in_time for r in chosen)
    refused = [r for r in chosen if r.outcome == 'refused']
    return Summary(
        in_time=in_time / count,
        late=(len(answered) - in_time) / count,
        refused=len(refused) / count,
        left=(len(chosen) - len(answered) - len(refused)) / count,
        held_s=sum(r.held_s for r in refused) / (len(refused) or 1),
    )


def capacity(requests, engines, profile=_engines.PROFILE):
    """Return the requests a second that engines can answer at most.

    By the profile, an engine at its most answers one request in the time of
    reading its prompt and of its share in the passes for its answer.

    Args:
        requests: of the kind that is to be answered.
        engines: number of engines that work; one that is slow counts as a
            part of one.
        profile: how the engines work.
    """
    step_s = profile.step_s + profile.step_s_per_request * profile.slots
    read_s = sum(r.tokens_in for r in requests) / profile.prefill_tokens_per_s
    steps = sum(r.tokens_out for r in requests) / profile.slots
    return engines * len(requests) / (read_s + steps * step_s)


def answerable(requests, engines, seconds, profile=_engines.PROFILE):
    """Return how many requests a perfect scheduler could answer in time.

    It knows all that is to come, keeps each engine full, and refuses the
    rest at once; it does not prefer small requests.

    Args:
        requests: those that come, evenly spread over `seconds`.
        engines: as for `capacity`.
        seconds: the time in which they come.
        profile: how the engines work.
    """
    if not requests:
        return 0.0
    most = capacity(requests, engines, profile) * seconds
    return min(float(len(requests)), most)


def bound_in_time(requests, engines, begin=0.0, end=float('inf')):
    """Return the share that is `answerable` in a span of time."""
    chosen = [r for r in requests if begin <= r.born < end]
    last = max(r.born for r in chosen)
    seconds = max(last - min(r.born for r in chosen), 1e-9)
    return answerable(chosen, engines, seconds) / len(chosen)
