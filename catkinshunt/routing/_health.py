"""Passive health of upstreams: what replies and failures tell."""

import attrs

from catkinshunt import base as shared
from catkinshunt import checks
from catkinshunt.routing import base


@attrs.define
class _Record:
    failures: int = 0
    retry_at: float = 0.0
    probing: bool = False


class HealthTracker(shared.ParamsMixin):
    """Leaves failed upstreams alone, then tries each by one request.

    Without the single probe, all waiting requests would run into an upstream
    that is still dead as soon as its pause ends; callers would notice it as
    a wave of late answers at each pause.

    Args:
        backoff_s: first pause after a failure, in seconds.
        max_backoff_s: longest pause, in seconds.
        leaving_s: how long an upstream that said it leaves gets nothing; a
            new process may then have taken its place.
        random_state: seed or `random.Random`, to spread the probes.
    """

    def __init__(
        self,
        *,
        backoff_s=0.5,
        max_backoff_s=5.0,
        leaving_s=30.0,
        random_state=None,
    ):
        self.backoff_s = backoff_s
        self.max_backoff_s = max_backoff_s
        self.leaving_s = leaving_s
        self.random_state = random_state

    def _records(self):
        if not hasattr(self, 'records_'):
            checks.check_positive(self.backoff_s, 'backoff_s')
            checks.check_positive(self.max_backoff_s, 'max_backoff_s')
            checks.check_positive(self.leaving_s, 'leaving_s')
            self.random_state_ = checks.check_random_state(self.random_state)
            self.records_ = {}
        return self.records_

    def check(self, view, now):
        """Return whether an upstream may get a request, probe or not."""
        if view.state is base.State.SERVING:
            return True
        record = self._records().get(view.name)
        if record is None:
            return view.state != base.State.LEAVING
        return not record.probing and now >= record.retry_at

    def retry_at(self, view):
        """Return when an upstream may be tried again, in seconds."""
        record = self._records().get(view.name)
        return record.retry_at if record else 0.0

    def has_record(self, name):
        """Return whether replies or failures have marked an upstream."""
        return name in self._records()

    def begin(self, view):
        """Mark the request that goes to a suspect upstream as its probe."""
        if view.state is base.State.SERVING:
            return
        self._records().setdefault(view.name, _Record()).probing = True

    def observe(self, observation, now):
        """Set the state of an upstream from how an exchange ended."""
        view = observation.upstream
        if observation.state == base.State.LEAVING:
            self._leave(view, now)
        elif observation.result == base.Result.FAILED:
            self._fail(view, now)
        elif observation.result == base.Result.CANCELLED:
            self._cancel(view)
        else:
            self._recover(view)

    def forget(self, name):
        """Drop what is known of an upstream that is gone."""
        self._records().pop(name, None)

    def _recover(self, view):
        record = self._records().get(view.name)
        leaving = view.state == base.State.LEAVING
        if leaving and not (record and record.probing):
            # A long answer that began before the upstream said that it leaves
            # may end after; taking it for recovery would send new work there.
            return
        self._records().pop(view.name, None)
        view.state = base.State.SERVING

    def _leave(self, view, now):
        record = self._records().setdefault(view.name, _Record())
        record.probing = False
        record.retry_at = now + self.leaving_s
        view.state = base.State.LEAVING

    def _fail(self, view, now):
        records = self._records()
        record = records.setdefault(view.name, _Record())
        was_probe = record.probing
        if view.state != base.State.SERVING and not was_probe:
            # Requests that were in flight when it died all fail at once;
            # counting each would stretch the pause to its longest.
            return
        record.probing = False
        record.failures += 1
        pause_s = self.backoff_s * 2 ** min(record.failures - 1, 10)
        pause_s = min(pause_s, self.max_backoff_s)
        record.retry_at = now + pause_s * self.random_state_.uniform(0.5, 1.0)
        view.state = base.State.SUSPECT

    def _cancel(self, view):
        record = self._records().get(view.name)
        if record is not None:
            record.probing = False
