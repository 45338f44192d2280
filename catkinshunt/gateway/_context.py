"""State shared by all exchanges of one gateway."""

import collections
import math

import attrs

from catkinshunt import availability as availabilities
from catkinshunt import catalog as catalogs
from catkinshunt import dispatch
from catkinshunt.gateway import _header_audit
from catkinshunt.gateway import base
from catkinshunt import http1
from catkinshunt import quarantine
from catkinshunt import rate_limits
from catkinshunt import retries
from catkinshunt import retry_schedule


@attrs.define
class Context:
    """State and collaborators of a gateway.

    Attributes:
        catalog: `catalog.Catalog` of the declaration and the upstreams.
        dialect: `base.BaseDialect` that decodes and encodes headers.
        chooser: `dispatch.Chooser` of upstreams.
        clock: returns seconds on the monotonic clock.
        boot_clock: returns seconds on the boot-time clock, which also counts
            time in suspend; the age of the catalog is measured on it.
        retry_ratio: retries allowed per request of a service.
        retry_burst: retries allowed beyond that ratio.
        random: source of random numbers, such as `random.Random(7)`.
        metrics: `GatewayMetrics`.
        permit_client: `permits.PermitClient` that requests permits.
        rate_limiter: `rate_limits.RateLimiter` for upstreams that state a
            limit.
        rate_limit_gossip: `rate_limits.RateLimitGossip` that tells other
            entries of these limits, or None.
        availability: `availability.AvailabilityTable` of upstreams that state
            that they leave or ask for back-off.
        leave_gossip: `availability.LeaveGossip` that tells other entries of
            upstreams that leave, or None.
        guard: `quarantine.Guard` against requests that crash upstreams, or
            None.
        tracker: `dispatch.UpstreamTracker` of the states of upstreams.
        client_retry_detector: estimates how long a client has waited before
            a request. A deadline shorter than the usual one of the service
            marks a client retry; the difference is about the time waited.
        stopping_since: when this process began to stop, or None.
        version_grace_s: seconds from when a version is announced until it is
            due. From then on older versions are outdated, and no request may
            begin on them.
        header_audit: reports headers of upstreams that are ignored.
        request_audit: reports prompt parts of requests that are ignored.
    """

    catalog: catalogs.Catalog
    dialect: base.BaseDialect
    chooser: dispatch.Chooser
    clock: object
    boot_clock: object
    retry_ratio: float
    retry_burst: float
    random: object
    metrics: object
    permit_client: object
    rate_limiter: rate_limits.RateLimiter
    availability: availabilities.AvailabilityTable
    rate_limit_gossip: rate_limits.RateLimitGossip | None = None
    leave_gossip: availabilities.LeaveGossip | None = None
    guard: quarantine.Guard | None = None
    tracker: dispatch.UpstreamTracker = attrs.field(
        factory=dispatch.UpstreamTracker
    )
    client_retry_detector: dispatch.ClientRetryDetector = attrs.field(
        factory=dispatch.ClientRetryDetector
    )
    stopping_since: float | None = None
    version_grace_s: float = 8.0
    header_audit: _header_audit.HeaderAudit = attrs.field(
        default=attrs.Factory(
            lambda self: _header_audit.HeaderAudit(
                self.metrics.ignored_headers
            ),
            takes_self=True,
        )
    )
    request_audit: _header_audit.RequestAudit = attrs.field(
        default=attrs.Factory(
            lambda self: _header_audit.RequestAudit(
                self.metrics.omitted_prompt_parts
            ),
            takes_self=True,
        )
    )
    _pools: dict = attrs.field(factory=dict)
    _retry_budgets: dict = attrs.field(factory=dict)
    _retry_schedules: dict = attrs.field(
        factory=lambda: collections.defaultdict(retry_schedule.RetrySchedule)
    )
    _delay_correctors: dict = attrs.field(
        factory=lambda: collections.defaultdict(dispatch.DelayCorrector)
    )

    def pool(self, upstream):
        """Return the connection pool of `upstream`."""
        found = self._pools.get(upstream.key)
        if found is None:
            host, port = upstream.address
            found = http1.Pool(host, port, self.clock)
            self._pools[upstream.key] = found
        return found

    def forget(self, upstreams):
        """Drop the pools and states of upstreams that are not listed.

        A restarted engine is a new upstream; without this, restarts and
        scaling would leak a pool and a state each time.

        Args:
            upstreams: the listed `catalog.Upstream` objects.
        """
        kept = {upstream.key for upstream in upstreams}
        for key in set(self._pools) - kept:
            self._pools.pop(key).close_idle()
        self.tracker.forget(upstreams)
        self.rate_limiter.forget(kept)
        self.availability.forget(kept, self.boot_clock())

    def retry_budget_tokens(self):
        """Return the tokens of each retry budget, by metric label values."""
        return {
            (service,): budget.report()['tokens']
            for service, budget in self._retry_budgets.items()
        }

    def set_retry_burst(self, burst):
        """Set the retries allowed beyond the retry ratio of each service."""
        self.retry_burst = burst
        for budget in self._retry_budgets.values():
            budget.burst = burst

    def retry_budget(self, service):
        """Return the `retries.Budget` of a service."""
        found = self._retry_budgets.get(service)
        if found is None:
            found = retries.Budget(self.retry_ratio, self.retry_burst)
            self._retry_budgets[service] = found
        return found

    def record_statements(self, upstream, reply_info, sent_at):
        """Record what a reply states of its upstream.

        Args:
            upstream: `catalog.Upstream` that the request was sent to.
            reply_info: `base.ReplyInfo` of the reply.
            sent_at: when the request was sent, on the boot-time clock.
        """
        # A misdirected reply may be that of another upstream.
        if reply_info.misdirected:
            return
        now = self.boot_clock()
        self.header_audit.observe(upstream.id, reply_info, now)
        if reply_info.is_leaving:
            # This process may have been suspended, and the upstream restarted,
            # since it replied. The start that replied was already running
            # when the request was sent.
            self.record_leave(upstream.key, sent_at)
        if reply_info.back_off_s is not None:
            self.availability.record_back_off(
                upstream.key, reply_info.back_off_s, now
            )
        per_s = reply_info.rate_limit_per_s
        # A rejection does not show that a limit has ended.
        if per_s is None or (reply_info.not_executed and per_s == math.inf):
            return
        self.record_rate_limit(upstream.key, per_s, sent_at)

    def record_leave(self, key, stated_at=None):
        """Record that an upstream leaves, and tell other entries.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            stated_at: time on the boot-time clock at which the start that
                stated it was already running, such as the time at which the
                request was sent. None if `key` names that start.
        """
        if stated_at is None:
            stated_at = self.availability.started_at(key)
        leave = availabilities.Leave(stated_at, self.availability.name)
        is_new = self.availability.record_leave(key, leave)
        if is_new and self.leave_gossip is not None:
            self.leave_gossip.announce(key)

    def record_rate_limit(self, key, per_s, sent_at):
        """Record what a reply states of the limit of its upstream.

        Args:
            key: `catalog.Upstream.key` of the upstream.
            per_s: requests per second that it accepts from all entries;
                infinite if it states no limit.
            sent_at: when the request was sent, on the boot-time clock.
        """
        changed = self.rate_limiter.observe(
            key, per_s, sent_at, self.boot_clock()
        )
        if changed and self.rate_limit_gossip is not None:
            self.rate_limit_gossip.announce(key)

    def retry_schedule(self, service):
        """Return the `RetrySchedule` of requests that meet limits."""
        return self._retry_schedules[service]

    def delay_corrector(self, service):
        """Return the `dispatch.DelayCorrector` of a service.

        It corrects predicted delays by measured ones, and assigns a
        `dispatch.Rank` to requests by their predicted and corrected delays.
        """
        return self._delay_correctors[service]
