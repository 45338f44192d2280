"""Selects the upstream for each attempt of a request."""

import asyncio
import math

from catkinshunt import dispatch

#: Most upstreams that are named in the log line of a request as passed over.
MAX_NOTED = 3


class Selection:
    """Finds upstreams for one admitted request.

    Args:
        context: `Context` of the gateway.
        info: the `base.RequestInfo`.
        decision: its `_admission.Decision`.
    """

    def __init__(self, context, info, decision):
        self.context = context
        self.info = info
        self.decision = decision
        # A request keeps the profile with which it was admitted; the service
        # may be removed meanwhile.
        service = context.catalog.declaration.services.get(decision.service)
        self._engine_profile = service.engine if service else None
        #: Seconds before a version is due from which older ones count as
        #: outdated when an upstream is chosen.
        self.version_lead_s = 0.0
        #: Keys of upstreams that a log note names already.
        self._noted = set()

    def make_job(self):
        """Return a new `dispatch.Job` for the request."""
        return dispatch.Job(self.info.tokens_in, self.info.tokens_out)

    def engine_profile(self):
        """Return the engine profile of the service; None for a plain one."""
        return self._engine_profile

    def take_next(self, progress, predicate=None):
        """Return the best untried candidate, or None; mark it as tried.

        Upstreams that leave, have asked for back-off, or whose stated limits
        this entry has used up, are left out.

        Args:
            progress: the `Progress` of the request.
            predicate: function that returns whether to consider an upstream,
                or None to consider all.
        """
        available, left_out = self._split_by_statements(self.version_lead_s)
        candidate = self.context.chooser.choose(
            available if predicate is None else filter(predicate, available),
            self.context.tracker,
            self.engine_profile(),
            self.make_job(),
            self.context.clock(),
            avoid=progress.tried,
        )
        self._note_passed_over(progress, left_out)
        if candidate is not None:
            progress.tried.add(candidate.upstream.key)
            progress.notes.append(self._describe(candidate))
        return candidate

    def _describe(self, candidate):
        """Return a log note with the reasons for the choice."""
        state = candidate.state
        text = (
            f'chose {candidate.upstream.id}:'
            f' predicted {candidate.delay_s:.3f} s,'
            f' {len(state.jobs)} requests of this entry,'
            f' failure rate {state.failure_rate(self.context.clock()):.2f}'
        )
        limit = self._describe_limit(candidate.upstream)
        return f'{text}, {limit}' if limit else text

    def _describe_limit(self, upstream):
        return self.context.rate_limiter.table.describe(
            upstream.key, self.context.boot_clock()
        )

    def _describe_statement(self, upstream):
        """Return why an upstream is passed over, as text for logs."""
        return self.context.availability.describe(
            upstream.key, self.context.boot_clock()
        ) or self._describe_limit(upstream)

    def rate_limited(self):
        """Return upstreams that are left out only for their limits.

        They are eligible, and this entry has used up its share.
        """
        limiter = self.context.rate_limiter
        if limiter.table.is_empty:
            return []
        now = self.context.boot_clock()
        return [
            upstream
            for upstream in self._eligible_upstreams()
            if limiter.wait_s(upstream.key, now) > 0
            and not self.context.availability.wait_s(upstream.key, now)
        ]

    def next_back_off_end_s(self):
        """Return the seconds until the first back-off of an upstream ends.

        None if no eligible upstream has asked for one.
        """
        table = self.context.availability
        if table.is_empty:
            return None
        now = self.context.boot_clock()
        waits = [
            table.wait_s(upstream.key, now)
            for upstream in self._eligible_upstreams()
        ]
        return min((s for s in waits if 0 < s < math.inf), default=None)

    def is_available(self, upstream):
        """Return whether a request may be sent to an upstream now.

        It may have been chosen a while ago.
        """
        now = self.context.boot_clock()
        if self.context.availability.wait_s(upstream.key, now) > 0:
            return False
        catalog = self.context.catalog
        listed = catalog.find(upstream.id)
        if listed is None:
            # One that was removed may be used for a short time.
            return upstream in catalog.upstreams(upstream.service, now)
        return listed.key != upstream.key or not listed.leaving

    def _note_passed_over(self, progress, left_out):
        """Add a log note for each upstream left out for what it states."""
        new = [u for u in left_out if u.key not in self._noted]
        self._noted.update(upstream.key for upstream in new)
        for upstream in new[:MAX_NOTED]:
            progress.notes.append(
                f'passed over {upstream.id}:'
                f' {self._describe_statement(upstream)}'
            )
        if len(new) > MAX_NOTED:
            progress.notes.append(
                f'passed over {len(new) - MAX_NOTED} more upstreams for what'
                ' they state'
            )

    def has_untried(self, tried, version_lead_s):
        """Return whether an untried, responsive upstream is available.

        Args:
            tried: keys of upstreams that do not count.
            version_lead_s: seconds before a version is due from which older
                ones count as outdated.
        """
        now = self.context.clock()
        available, _ = self._split_by_statements(version_lead_s)
        return any(
            not self.context.tracker.state(upstream).is_unresponsive(now)
            for upstream in available
            if upstream.key not in tried
        )

    def may_become_available(self):
        """Return whether an upstream is listed that may take requests soon.

        One that is leaving accepts no new requests, and one that has asked
        for back-off has said for how long it does not.
        """
        service = self.decision.service
        now = self.context.boot_clock()
        return any(
            not upstream.leaving
            and not self.context.availability.wait_s(upstream.key, now)
            for upstream in self.context.catalog.members(service)
        )

    def describe_listed(self):
        """Return how many upstreams are listed and why not used, for logs."""
        listed = self.context.catalog.members(self.decision.service)
        text = f'{len(listed)} listed'
        leaving = sum(upstream.leaving for upstream in listed)
        if leaving:
            text += f', {leaving} leaving'
        model = self.info.model
        if not model or self.engine_profile() is None:
            return text
        versions = [(u.versions or {}).get(model) for u in listed]
        min_version = self._min_version(self.context.boot_clock())
        without = versions.count(None)
        if without:
            text += f', {without} without weights of {model}'
        outdated = sum(
            version is not None and version < (min_version or 0)
            for version in versions
        )
        if outdated:
            text += f', {outdated} older than the due version {min_version}'
        return text

    async def wait_for_change(self, left_s):
        """Wait for a change of the catalog, for at most `left_s` seconds."""
        try:
            async with asyncio.timeout(left_s):
                await self.context.catalog.wait_for_change()
        except TimeoutError:
            return

    def is_outdated(self, upstream, lead_s):
        """Return whether its version is outdated `lead_s` seconds from now."""
        min_version = self._min_version(self.context.boot_clock() + lead_s)
        if min_version is None or self.engine_profile() is None:
            return False
        known = self.context.catalog.find(upstream.id) or upstream
        version = (known.versions or {}).get(self.info.model)
        return version is not None and version < min_version

    def may_miss_version(self, asked_at=None, lead_s=0.0):
        """Return whether a version may be due that is not known here.

        It was announced after the state was last confirmed, and after a
        sidecar was asked that admits the request.

        Args:
            asked_at: when such a sidecar was asked, on the boot-time clock;
                None if none has replied.
            lead_s: seconds from now to which the answer refers.
        """
        if not self.info.model or self.engine_profile() is None:
            return False
        times = (self.context.catalog.confirmed_at, asked_at)
        known_at = max((t for t in times if t is not None), default=None)
        if known_at is None:
            return False
        now = self.context.boot_clock() + lead_s
        return now - known_at > self.context.version_grace_s

    def _split_by_statements(self, version_lead_s):
        """Return eligible upstreams that may get a request now, and others.

        The others leave, have asked for back-off, or have a limit that is used
        up.
        """
        eligible = self._eligible_upstreams(version_lead_s)
        table, limiter = self.context.availability, self.context.rate_limiter
        if table.is_empty and limiter.table.is_empty:
            return eligible, []
        now = self.context.boot_clock()
        available, left_out = [], []
        for upstream in eligible:
            key = upstream.key
            may_get = not (
                table.wait_s(key, now) > 0 or limiter.wait_s(key, now) > 0
            )
            (available if may_get else left_out).append(upstream)
        return available, left_out

    def _eligible_upstreams(self, version_lead_s=0.0):
        """Return those that serve the model in a version not outdated."""
        now = self.context.boot_clock()
        found = self.context.catalog.upstreams(self.decision.service, now)
        model = self.info.model
        if not model or self.engine_profile() is None:
            return found
        serving = [u for u in found if u.versions and model in u.versions]
        # A failover goes to engines that a pending version does not forbid
        # yet: its due time is not known.
        min_version = self._min_version(now, version_lead_s)
        if min_version is None:
            return serving
        return [u for u in serving if u.versions[model] >= min_version]

    def _min_version(self, now, lead_s=0.0):
        """Return the newest version that is due; None if there is none.

        Older ones are outdated.

        Args:
            now: time in seconds on the boot-time clock.
            lead_s: as of `catalog.Catalog.due_version`.
        """
        return self.context.catalog.due_version(
            self.info.model, self.context.version_grace_s, now, lead_s
        )
