"""What all exchanges of one gateway share."""

import collections

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt import dispatch
from catkinshunt.gateway import base
from catkinshunt import http1
from catkinshunt import quarantine
from catkinshunt import retries


@attrs.define
class Context:
    """State and collaborators of a gateway.

    Attributes:
        clock: seconds on the steady clock.
        wall: seconds on a clock that counts the time of a suspend too; the
            age of the catalog is measured on it.
        retry_ratio: share of the requests of a service that may be sent
            once more.
        retry_burst: retries that are allowed beyond that share.
        random: source of random numbers, such as `random.Random(7)`.
        places: `places.PermitClient` that asks engines for room.
        guard: `quarantine.Guard` against requests that crash upstreams, or
            None for none.
    """

    catalog: catalogs.Catalog
    dialect: base.BaseDialect
    chooser: dispatch.Chooser
    clock: object
    wall: object
    retry_ratio: float
    retry_burst: float
    random: object
    metrics: object
    permit_client: object
    guard: quarantine.Guard | None = None
    tracker: dispatch.UpstreamTracker = attrs.field(
        factory=dispatch.UpstreamTracker
    )
    return_detector: dispatch.ReturningRequestDetector = attrs.field(
        factory=dispatch.ReturningRequestDetector
    )
    stopping_since: float | None = None
    version_grace_s: float = 8.0
    _pools: dict = attrs.field(factory=dict)
    _budgets: dict = attrs.field(factory=dict)
    _forecasts: dict = attrs.field(
        factory=lambda: collections.defaultdict(dispatch.DelayCorrector)
    )

    def pool(self, upstream):
        """Return the connections to `upstream`."""
        found = self._pools.get(upstream.key)
        if found is None:
            host, port = upstream.address
            found = http1.Pool(host, port, self.clock)
            self._pools[upstream.key] = found
        return found

    def forget(self, upstreams):
        """Drop what is kept of starts of upstreams that are not listed.

        Engines that restart and services that scale would otherwise leave
        a pool and a state behind with each start.
        """
        kept = {upstream.key for upstream in upstreams}
        for key in set(self._pools) - kept:
            self._pools.pop(key).close_idle()
        self.tracker.forget(upstreams)

    def retry_budget_tokens(self):
        """Return the tokens of each retry budget by label values."""
        return {
            (service,): budget.report()['tokens']
            for service, budget in self._budgets.items()
        }

    def set_retry_burst(self, burst):
        """Allow `burst` retries beyond the share of the requests."""
        self.retry_burst = burst
        for budget in self._budgets.values():
            budget.burst = burst

    def retry_budget(self, service):
        """Return the `retries.Budget` of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = retries.Budget(self.retry_ratio, self.retry_burst)
            self._budgets[service] = found
        return found

    def forecast(self, service):
        """Return the `dispatch.DelayCorrector` of a service."""
        return self._forecasts[service]
