"""Selects the upstream of a request among those known to this entry."""

import threading

import attrs

from catkinshunt import base as shared
from catkinshunt import checks
from catkinshunt import errors
from catkinshunt.routing import _health
from catkinshunt.routing import _subset
from catkinshunt.routing import base

#: Retry-After if no upstream has a known time of its next probe.
DEFAULT_RETRY_AFTER_S = 1.0
#: Age from which on the versions of an upstream are probed again.
VERSIONS_MAX_AGE_S = 2.0
#: Least time between version probes of one entry: an upstream that still
#: lacks the model rejects the request, which costs a retry.
VERSION_PROBE_INTERVAL_S = 0.25


@attrs.frozen
class _Ranked:
    """Ordered upstreams, split by whether they serve the requested model."""

    matching: list
    other: list


class Router(shared.ParamsMixin):
    """Chooses upstreams for one entry and tracks their state.

    Args:
        policy: a `BasePolicy`.
        entry: name of the entry; determines its subset of the upstreams.
        data_centre: data centre of the entry.
        region: the region of that data centre.
        subset_size: upstreams of one service that the entry uses.
        spill_load: load, in requests, of each near upstream from which on
            farther ones are used as well.
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
        self._version_probe_at = 0.0

    def offer(self, upstreams):
        """Replace the upstreams by those of the instance list.

        State learned from replies is kept for an upstream whose name and
        address are unchanged, since the list lags behind replies.

        Args:
            upstreams: all `UpstreamView` objects; the router keeps and
                modifies them.
        """
        with self._lock:
            health = self._get_health()
            known, self._views = self._views, {}
            for view in upstreams:
                old = known.pop(view.name, None)
                self._views[view.name] = self._merge(old, view, health)
            for name in known:
                health.forget(name)
            self._orders.clear()
            self._ranked.clear()

    def choose(self, req, now, policy=None):
        """Return the `Choice` for a request, counted as in flight.

        Args:
            req: the `RouteRequest`.
            now: seconds, monotonic.
            policy: a `BasePolicy` that replaces that of the router.

        Raises:
            RefusedError: no upstream is usable; it was not executed.
        """
        with self._lock:
            usable = self._find_usable(req, now)
            candidates = _subset.prefer_near(
                usable, self.data_centre, self.region, self.spill_load, now
            )
            choice = (policy or self.policy).choose(req, candidates, now)
            self._get_health().start_probe(choice.upstream)
            choice.upstream.in_flight += 1
            return choice

    def observe(self, observation, now):
        """Update the state of an upstream from a reply or failure.

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
            self._get_health().observe(observation, now)
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
        """Return the known upstreams, sorted by name."""
        with self._lock:
            return [self._views[name] for name in sorted(self._views)]

    def _get_health(self):
        if self.health is None:
            self.health = _health.HealthTracker()
        return self.health

    @staticmethod
    def _merge(old, view, health):
        """Return the view to keep for a listed upstream."""
        view.listed_state = view.state
        if old is None or _is_new_start(old, view):
            health.forget(view.name)
            return view
        old.listed_state = view.listed_state
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

    def _find_usable(self, req, now):
        """Return the usable upstreams of the subset of the entry."""
        checks.check_positive(self.subset_size, 'subset_size')
        ranked = self._rank(req)
        version_probe = self._pick_version_probe(ranked.other, req, now)
        if version_probe is not None:
            return [version_probe]
        usable = self._pick_usable(ranked.matching, req, now)
        if not usable and ranked.other:
            # Version data is as old as the last reply. If all upstreams have
            # changed their version since, only a request can reveal it.
            usable = self._pick_usable(ranked.other, req, now)
        if not usable:
            raise self._make_refusal(req, ranked.matching + ranked.other, now)
        return usable

    def _pick_version_probe(self, views, req, now):
        """Return an upstream whose version data is outdated, or None.

        While others serve the model, an upstream that once lacked it would
        get no request, and would stay idle after loading the model.
        """
        if (
            not req.idempotent
            or now - self._version_probe_at < VERSION_PROBE_INTERVAL_S
        ):
            return None
        for view in views[: self.subset_size]:
            if now - view.versions_at < VERSIONS_MAX_AGE_S:
                continue
            serving = (
                view.state == base.State.SERVING
                and not self._get_health().back_off_s(view, now)
            )
            if serving and view.name not in req.excluded:
                self._version_probe_at = view.versions_at = now
                return view
        return None

    def _pick_usable(self, ranked, req, now):
        """Return the first usable upstreams, or one that is to be probed."""
        health = self._get_health()
        usable, probes = [], []
        for view in ranked:
            if view.name in req.excluded or health.back_off_s(view, now) > 0:
                continue
            if view.state is base.State.SERVING:
                usable.append(view)
                if len(usable) >= self.subset_size:
                    break
            elif health.check(view, now):
                probes.append(view)
        if probes and (req.idempotent or not usable):
            # Without a probe, a suspect upstream would never recover.
            return probes[:1]
        return usable

    def _rank(self, req):
        key = (req.service, req.model, req.model_version)
        if key not in self._ranked:
            order = self._order(req.service)
            matches = [
                v.may_serve(req.model, req.model_version) for v in order
            ]
            self._ranked[key] = _Ranked(
                [
                    v
                    for v, is_match in zip(order, matches, strict=True)
                    if is_match
                ],
                [
                    v
                    for v, is_match in zip(order, matches, strict=True)
                    if not is_match
                ],
            )
        return self._ranked[key]

    def _order(self, service):
        """Return the ordered upstreams of a service.

        Cached apart from `_ranked`: sorting hashes each upstream, and the
        order does not depend on their versions.
        """
        if service not in self._orders:
            self._orders[service] = _subset.rank_upstreams(
                self.entry,
                [v for v in self._views.values() if v.service == service],
                self.data_centre,
            )
        return self._orders[service]

    def _make_refusal(self, req, ranked, now):
        health = self._get_health()
        waits = [
            max(health.retry_at(view) - now, health.back_off_s(view, now))
            for view in ranked
            if view.state != base.State.LEAVING
        ]
        waits = [wait_s for wait_s in waits if wait_s > 0]
        target = f'service {req.service}'
        if req.model:
            target += f' with {req.model} {req.model_version}'
        return errors.RefusedError(
            f'no upstream of {target} is available; {len(ranked)} known',
            step='choose',
            peer=req.service,
            retry_after_s=min(waits, default=DEFAULT_RETRY_AFTER_S),
        )


def _is_new_start(old, view):
    """Return whether a listed upstream is another process than before.

    A list that does not tell the starts shows one that has left and is back
    as leaving and then as live.
    """
    if old.address != view.address:
        return True
    if old.started_at_ms and view.started_at_ms:
        return old.started_at_ms != view.started_at_ms
    return (
        old.listed_state == base.State.LEAVING
        and view.listed_state == base.State.SERVING
    )
