"""Keeps requests with one prompt prefix on one upstream."""

import hashlib
import heapq

from catkinshunt import checks
from catkinshunt.routing import _load
from catkinshunt.routing import base


class PrefixAffinity(base.BasePolicy):
    """Rendezvous hashing over the prompt prefix, with bounded load.

    The prefix alone names its upstreams, in an order that all entries share.
    Engines' cache events come late and with gaps, so none are needed: an
    entry that has seen no event sends the prefix to the same place as one
    that has seen all. The first upstream of that order whose load is below
    the bound takes the request; when none of the first few is, the other
    policy chooses.

    Args:
        bound: a load above this many times the mean spills.
        slack: requests above the mean that are borne in any case, so that
            an idle fleet does not spill at the second request.
        homes: how many upstreams of the order are tried.
        prefix_bytes: how much of the prompt counts.
        half_life_s: seconds in which a report loses half of its weight.
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
        """Return a home of the prefix, or the spill policy's choice."""
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
        """Return the first upstreams in the order of the prefix."""
        prefix = hashlib.blake2b(
            req.prefix[: self.prefix_bytes], digest_size=8
        )

        def weight(view):
            digest = prefix.copy()
            digest.update(view.name.encode())
            return digest.digest()

        return heapq.nlargest(self.homes, candidates, key=weight)
