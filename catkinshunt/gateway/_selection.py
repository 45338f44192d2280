"""Which upstreams may take a request, and which of them is best."""

import asyncio

from catkinshunt import dispatch


class Selection:
    """Finds upstreams for one request that was admitted.

    Args:
        context: `Context` of the gateway.
        ask: the `base.RequestInfo`.
        decision: the `_admission.Decision` on it.
    """

    def __init__(self, context, ask, decision):
        self.context = context
        self.ask = ask
        self.decision = decision

    def make_job(self):
        """Return a new `dispatch.Job` for the request."""
        return dispatch.Job(self.ask.tokens_in, self.ask.tokens_out)

    def engine(self):
        """Return the profile of the service's engines, or None."""
        services = self.context.catalog.declaration.services
        service = services.get(self.decision.service)
        return service.engine if service else None

    def find(self, tried, only=None):
        """Return the best `dispatch.Candidate` that is not tried, or None.

        Args:
            tried: keys of the upstreams that were tried.
            only: function that tells whether an upstream is meant, or None.
        """
        upstreams = self._upstreams()
        return self.context.chooser.choose(
            filter(only, upstreams) if only is not None else upstreams,
            self.context.tracker,
            self.engine(),
            self.make_job(),
            self.context.clock(),
            avoid=tried,
        )

    def find_next(self, progress, only=None):
        """Return the best one that is not tried, and count it as tried.

        Args:
            progress: the `Progress` of the request.
            only: as for `find`.
        """
        candidate = self.find(progress.tried, only)
        if candidate is not None:
            progress.tried.add(candidate.upstream.key)
            progress.notes.append(self._describe(candidate))
        return candidate

    def _describe(self, candidate):
        """Return a note for the log on why it was chosen."""
        state = candidate.state
        return (
            f'chose {candidate.upstream.id}: likely {candidate.delay_s:.3f} s,'
            f' {len(state.jobs)} own jobs,'
            f' {state.failure_rate(self.context.clock()):.2f} failing'
        )

    def has_other(self, tried):
        """Return whether one that is not tried is there and not silent."""
        now = self.context.clock()
        return any(
            not self.context.tracker.state(upstream).is_unresponsive(now)
            for upstream in self._upstreams()
            if upstream.key not in tried
        )

    def is_worth_waiting(self):
        """Return whether an upstream is there that may soon take it."""
        service = self.decision.service
        return any(
            not upstream.leaving
            for upstream in self.context.catalog.members(service)
        )

    async def wait_for_change(self, left_s):
        """Return when the catalog has changed, or after `left_s` seconds."""
        try:
            async with asyncio.timeout(left_s):
                await self.context.catalog.wait_for_change()
        except TimeoutError:
            return

    def is_outdated(self, upstream, lead_s):
        """Return whether no request may begin there `lead_s` from now."""
        least = self._least_version(lead_s)
        if least is None or self.engine() is None:
            return False
        known = self.context.catalog.find(upstream.id) or upstream
        version = (known.versions or {}).get(self.ask.model)
        return version is not None and version < least

    def _upstreams(self):
        """Return the upstreams that may take the request."""
        found = self.context.catalog.upstreams(
            self.decision.service, self.context.wall()
        )
        model = self.ask.model
        if not model or self.engine() is None:
            return found
        holding = [u for u in found if u.versions and model in u.versions]
        least = self._least_version()
        if least is None:
            return holding
        return [u for u in holding if u.versions[model] >= least]

    def _least_version(self, lead_s=0.0):
        """Return the oldest version that may still begin, or None for any.

        Args:
            lead_s: seconds from now for which it is asked.
        """
        return self.context.catalog.due_version(
            self.ask.model,
            self.context.version_grace_s,
            self.context.wall() + lead_s,
        )
