"""Policies that depend on load only."""

from catkinshunt import checks
from catkinshunt.routing import base


class _RandomStateMixin:
    """Creates the random generator on first use."""

    def _get_random(self):
        if not hasattr(self, 'random_state_'):
            self.random_state_ = checks.check_random_state(self.random_state)
        return self.random_state_


class Random(_RandomStateMixin, base.BasePolicy):
    """Uniformly random choice; the baseline of the benchmarks.

    Args:
        random_state: seed or `random.Random`.

    Examples:
        >>> view = base.UpstreamView('a', '127.0.0.1:1', 'model')
        >>> req = base.RouteRequest('model')
        >>> Random(random_state=0).choose(req, [view], 0.0).upstream.name
        'a'
    """

    def __init__(self, *, random_state=None):
        self.random_state = random_state

    def choose(self, req, candidates, now):
        """Return a random candidate."""
        view = self._get_random().choice(candidates)
        return base.Choice(view, 'random', len(candidates))


class LeastInFlight(_RandomStateMixin, base.BasePolicy):
    """The upstream with the fewest requests in flight from this entry.

    Args:
        random_state: seed or `random.Random`, for ties.
    """

    def __init__(self, *, random_state=None):
        self.random_state = random_state

    def choose(self, req, candidates, now):
        """Return a candidate with the fewest requests in flight."""
        least = min(view.in_flight for view in candidates)
        ties = [view for view in candidates if view.in_flight == least]
        view = self._get_random().choice(ties)
        grounds = f'least in flight ({least})'
        return base.Choice(view, grounds, len(candidates))


class PowerOfTwoChoices(_RandomStateMixin, base.BasePolicy):
    """The less loaded of two random upstreams.

    If all entries chose the least loaded upstream by the same outdated
    reports, it would receive all requests at once; sampling two at random
    avoids this herding.

    Args:
        half_life_s: half-life of the weight of a load report, in seconds.
        random_state: seed or `random.Random`.
    """

    def __init__(self, *, half_life_s=base.HALF_LIFE_S, random_state=None):
        self.half_life_s = half_life_s
        self.random_state = random_state

    def choose(self, req, candidates, now):
        """Return the less loaded of two random candidates."""
        checks.check_positive(self.half_life_s, 'half_life_s')
        pair = self._get_random().sample(candidates, min(2, len(candidates)))
        loads = [
            base.estimate_load(view, now, self.half_life_s) for view in pair
        ]
        best = loads.index(min(loads))
        seen = ', '.join(
            f'{view.name} {load:.1f}'
            for view, load in zip(pair, loads, strict=True)
        )
        return base.Choice(pair[best], f'less of {seen}', len(candidates))
