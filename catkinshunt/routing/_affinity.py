"""Prefix affinity: requests with equal prompt prefixes share an upstream."""

import hashlib
import heapq

from catkinshunt import checks
from catkinshunt.routing import _load
from catkinshunt.routing import base


class PrefixAffinity(base.BasePolicy):
    """Rendezvous hashing over the prompt prefix, with bounded load.

    The order of the upstreams depends on the prefix alone, so all entries
    agree on it. Cache events of engines are not used: they arrive late and
    incomplete, and entries would disagree. The first of the `homes` first
    upstreams whose load is below the limit is chosen; if there is none, the
    request spills to `PowerOfTwoChoices`.

    Args:
        bound: load limit as a multiple of the mean load.
        slack: least distance of the limit from the mean load, in requests;
            without it an idle fleet would spill at the second request.
        homes: number of upstreams tried before the request spills.
        prefix_bytes: number of leading bytes of the prompt that are hashed.
        half_life_s: half-life of the weight of a load report, in seconds.
        random_state: seed or `random.Random`, for spilled requests.
    """

    def __init__(
        self,
        *,
        bound=1.25,
        slack=2.0,
        homes=6,
        prefix_bytes=256,
        half_life_s=base.HALF_LIFE_S,
        random_state=None,
    ):
        self.bound = bound
        self.slack = slack
        self.homes = homes
        self.prefix_bytes = prefix_bytes
        self.half_life_s = half_life_s
        self.random_state = random_state

    def _get_spill_policy(self):
        if not hasattr(self, 'spill_'):
            checks.check_positive(self.bound, 'bound')
            checks.check_positive(self.homes, 'homes')
            checks.check_positive(self.prefix_bytes, 'prefix_bytes')
            self.spill_ = _load.PowerOfTwoChoices(
                half_life_s=self.half_life_s, random_state=self.random_state
            )
        return self.spill_

    def choose(self, req, candidates, now):
        """Return the first home below the load limit, or a spilled choice."""
        spill = self._get_spill_policy()
        if not req.prefix:
            return spill.choose(req, candidates, now)
        loads = {
            view.name: base.estimate_load(view, now, self.half_life_s)
            for view in candidates
        }
        mean = sum(loads.values()) / len(loads)
        limit = max(self.bound * mean, mean + self.slack)
        for rank, view in enumerate(self._find_homes(req, candidates)):
            if loads[view.name] < limit:
                grounds = (
                    f'prefix home {rank + 1}, load '
                    f'{loads[view.name]:.1f} below {limit:.1f}'
                )
                return base.Choice(view, grounds, len(candidates))
        choice = spill.choose(req, candidates, now)
        grounds = f'spilled, homes above {limit:.1f}; {choice.grounds}'
        return base.Choice(choice.upstream, grounds, len(candidates))

    def _find_homes(self, req, candidates):
        """Return the upstreams with the highest weights for the prefix."""
        prefix = hashlib.blake2b(
            req.prefix[: self.prefix_bytes], digest_size=8
        )

        def weight(view):
            digest = prefix.copy()
            digest.update(view.name.encode())
            return digest.digest()

        return heapq.nlargest(self.homes, candidates, key=weight)
