"""Finds the upstream for a request among those that this entry knows."""

import threading

import attrs

from catkinshunt import base as shared
from catkinshunt import checks
from catkinshunt import errors
from catkinshunt.routing import _health
from catkinshunt.routing import _subset
from catkinshunt.routing import base

#: Retry hint when an upstream must first appear or return, in seconds.
ABSENT_RETRY_S = 1.0
#: Age at which an upstream's versions are asked for again, in seconds.
ASK_AGAIN_S = 2.0
#: Least time between two such requests of one entry: each is refused, and so
#: costs a retry, as long as nothing has changed.
ASK_GAP_S = 0.25


@attrs.frozen
class _Ranked:
    """An entry's order of upstreams, split by what they are known to serve."""

    fitting: list
    other: list


class Router(shared.ParamsMixin):
    """Chooses upstreams for one entry and keeps what it learns of them.

    Args:
        policy: a `BasePolicy`.
        entry: name of the entry; sets its subset of the upstreams.
        data_centre: where the entry runs.
        region: the region of that data centre.
        subset_size: upstreams of one service that the entry works with.
        spill_load: requests on each near upstream from which on others are
            taken as well.
        health: a `HealthTracker`.

    Examples:
        >>> from catkinshunt import routing
        >>> router = Router(routing.LeastInFlight(random_state=0), entry='e1')
        >>> router.offer([routing.UpstreamView('a', '127.0.0.1:1', 'm')])
        >>> choice = router.choose(routing.RouteRequest('m'), now=0.0)
        >>> choice.upstream.name, choice.upstream.in_flight
        ('a', 1)
    """

    def __init__(
        self,
        policy,
        *,
        entry,
        data_centre='',
        region='',
        subset_size=64,
        spill_load=16.0,
        health=None,
    ):
        self.policy = policy
        self.entry = entry
        self.data_centre = data_centre
        self.region = region
        self.subset_size = subset_size
        self.spill_load = spill_load
        self.health = health
        self._lock = threading.Lock()
        self._views = {}
        self._orders = {}
        self._ranked = {}
        self._asked_at = 0.0

    def offer(self, upstreams):
        """Take the instance list's view of all upstreams.

        What replies have shown of an upstream stays in force while its name
        and address stay, since the list lags behind replies.

        Args:
            upstreams: all `UpstreamView` objects, new ones may be reused.
        """
        with self._lock:
            health = self._health()
            known, self._views = self._views, {}
            for view in upstreams:
                old = known.pop(view.name, None)
                self._views[view.name] = self._merge(old, view, health)
            for name in known:
                health.forget(name)
            self._orders.clear()
            self._ranked.clear()

    def choose(self, req, now, policy=None):
        """Return the `Choice` for a request and count it as in flight.

        Args:
            req: the `RouteRequest`.
            now: seconds, monotonic.
            policy: a `BasePolicy` for this request, instead of the router's.

        Raises:
            RefusedError: no upstream may get it now; it was not run.
        """
        with self._lock:
            usable = self._usable(req, now)
            candidates = _subset.prefer_near(
                usable, self.data_centre, self.region, self.spill_load, now
            )
            choice = (policy or self.policy).choose(req, candidates, now)
            self._health().begin(choice.upstream)
            choice.upstream.in_flight += 1
            return choice

    def observe(self, observation, now):
        """Learn from a reply, a refusal or a failure.

        Args:
            observation: the `Observation`.
            now: seconds, monotonic.
        """
        with self._lock:
            view = observation.upstream
            if observation.finished:
                view.in_flight = max(0, view.in_flight - 1)
            if self._views.get(view.name) is not view:
                return
            self._health().observe(observation, now)
            if observation.load is not None:
                view.reported_load = observation.load
                view.in_flight_at_report = view.in_flight
                view.reported_at = now
            versions = observation.model_versions
            if versions is not None:
                view.versions_at = now
            if versions is not None and versions != view.model_versions:
                view.model_versions = frozenset(versions)
                self._ranked.clear()
            self.policy.observe(observation, now)

    def report(self):
        """Return the known upstreams, in the order of their names."""
        with self._lock:
            return [self._views[name] for name in sorted(self._views)]

    def _health(self):
        if self.health is None:
            self.health = _health.HealthTracker()
        return self.health

    @staticmethod
    def _merge(old, view, health):
        """Return the view to keep for a name in the list."""
        if old is None or old.address != view.address:
            health.forget(view.name)
            return view
        old.service = view.service
        old.data_centre = view.data_centre
        old.region = view.region
        if view.model_versions is not None:
            old.model_versions = view.model_versions
        if view.state == base.State.LEAVING:
            old.state = base.State.LEAVING
        elif old.state == base.State.LEAVING and not health.has_record(
            old.name
        ):
            old.state = base.State.SERVING
        return old

    def _usable(self, req, now):
        """Return the entry's subset of upstreams that may get the request."""
        checks.check_positive(self.subset_size, 'subset_size')
        ranked = self._rank(req)
        again = self._ask_again(ranked.other, req, now)
        if again is not None:
            return [again]
        found = self._pick(ranked.fitting, req, now)
        if not found and ranked.other:
            # What is known of versions is as old as the last reply; if all
            # upstreams have changed over since, only asking one tells.
            found = self._pick(ranked.other, req, now)
        if not found:
            raise self._refusal(req, ranked.fitting + ranked.other, now)
        return found

    def _ask_again(self, views, req, now):
        """Return an upstream whose versions may have changed, or None.

        Where others serve the model nothing else would ever go to one that
        once did not, and an instance that has loaded it would stay idle.
        """
        if not req.idempotent or now - self._asked_at < ASK_GAP_S:
            return None
        for view in views[: self.subset_size]:
            if now - view.versions_at < ASK_AGAIN_S:
                continue
            serving = view.state == base.State.SERVING
            if serving and view.name not in req.excluded:
                self._asked_at = view.versions_at = now
                return view
        return None

    def _pick(self, ranked, req, now):
        """Return the first usable upstreams of an order, or one to probe."""
        health = self._health()
        usable, probes = [], []
        for view in ranked:
            if view.name in req.excluded:
                continue
            if view.state is base.State.SERVING:
                usable.append(view)
                if len(usable) >= self.subset_size:
                    break
            elif health.check(view, now):
                probes.append(view)
        if probes and (req.idempotent or not usable):
            # One request tries one suspect, or it would never come back.
            return probes[:1]
        return usable

    def _rank(self, req):
        key = (req.service, req.model, req.model_version)
        if key not in self._ranked:
            order = self._order(req.service)
            fits = [v.may_serve(req.model, req.model_version) for v in order]
            self._ranked[key] = _Ranked(
                [v for v, fit in zip(order, fits, strict=True) if fit],
                [v for v, fit in zip(order, fits, strict=True) if not fit],
            )
        return self._ranked[key]

    def _order(self, service):
        """Return the entry's order of a service's upstreams.

        It hashes each of them, so it outlasts changes of their versions.
        """
        if service not in self._orders:
            self._orders[service] = _subset.rank_upstreams(
                self.entry,
                [v for v in self._views.values() if v.service == service],
                self.data_centre,
            )
        return self._orders[service]

    def _refusal(self, req, ranked, now):
        waits = [self._health().retry_at(view) - now for view in ranked]
        waits = [wait_s for wait_s in waits if wait_s > 0]
        what = f'service {req.service}'
        if req.model:
            what += f' with {req.model} {req.model_version}'
        return errors.RefusedError(
            f'no upstream of {what} takes work, {len(ranked)} known',
            step='choose',
            peer=req.service,
            retry_after_s=min(waits, default=ABSENT_RETRY_S),
        )
