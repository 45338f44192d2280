"""Passive health checks of upstreams, from replies and failures."""

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
    """Excludes failed upstreams, then probes each with a single request.

    Without the limit to one probe, all waiting requests would be sent to an
    upstream that may still be down when its backoff ends, and would be
    answered late.

    Args:
        backoff_s: backoff after the first failure, in seconds.
        max_backoff_s: longest backoff, in seconds.
        random_state: seed or `random.Random`, for jitter of the probes.
    """

    def __init__(
        self,
        *,
        backoff_s=0.5,
        max_backoff_s=5.0,
        random_state=None,
    ):
        self.backoff_s = backoff_s
        self.max_backoff_s = max_backoff_s
        self.random_state = random_state

    def _get_records(self):
        if not hasattr(self, 'records_'):
            checks.check_positive(self.backoff_s, 'backoff_s')
            checks.check_positive(self.max_backoff_s, 'max_backoff_s')
            self.random_state_ = checks.check_random_state(self.random_state)
            self.records_ = {}
            #: End of the back-off by name; it holds for a new start as well.
            self.back_offs_ = {}
        return self.records_

    def check(self, view, now):
        """Return whether an upstream may get a request or a probe."""
        if view.state is base.State.SERVING:
            return True
        if view.state is base.State.LEAVING:
            return False
        record = self._get_records().get(view.name)
        if record is None:
            return True
        return not record.probing and now >= record.retry_at

    def retry_at(self, view):
        """Return the time of the next probe of an upstream, in seconds."""
        record = self._get_records().get(view.name)
        return record.retry_at if record else 0.0

    def back_off_s(self, view, now):
        """Return the seconds for which an upstream wants no requests."""
        self._get_records()
        until = self.back_offs_.get(view.name)
        return 0.0 if until is None else max(0.0, until - now)

    def has_record(self, name):
        """Return whether the upstream is recorded as leaving or failed."""
        return name in self._get_records()

    def start_probe(self, view):
        """Record the request as the probe if the upstream is not serving."""
        if view.state is base.State.SERVING:
            return
        self._get_records().setdefault(view.name, _Record()).probing = True

    def observe(self, observation, now):
        """Set the state of an upstream by the outcome of an exchange."""
        view = observation.upstream
        if observation.back_off_s:
            self._record_back_off(view, observation.back_off_s, now)
        if observation.state == base.State.LEAVING:
            self._mark_leaving(view)
        elif observation.result == base.Result.FAILED:
            self._mark_failed(view, now)
        elif observation.result == base.Result.CANCELLED:
            self._end_probe(view)
        else:
            self._mark_serving(view)

    def forget(self, name):
        """Delete the record of a removed upstream."""
        self._get_records().pop(name, None)

    def _mark_serving(self, view):
        if view.state == base.State.LEAVING:
            # A long reply may have begun before the upstream started leaving;
            # only a new start ends that.
            return
        self._get_records().pop(view.name, None)
        view.state = base.State.SERVING

    def _mark_leaving(self, view):
        self._get_records()[view.name] = _Record()
        view.state = base.State.LEAVING

    def _record_back_off(self, view, back_off_s, now):
        self._get_records()
        until = max(self.back_offs_.get(view.name, now), now + back_off_s)
        self.back_offs_ = {
            name: end for name, end in self.back_offs_.items() if end > now
        }
        self.back_offs_[view.name] = until

    def _mark_failed(self, view, now):
        records = self._get_records()
        if view.state == base.State.LEAVING:
            return
        record = records.setdefault(view.name, _Record())
        was_probe = record.probing
        if view.state != base.State.SERVING and not was_probe:
            # All requests in flight fail together when an upstream dies;
            # counting each would raise the backoff to its maximum.
            return
        record.probing = False
        record.failures += 1
        pause_s = self.backoff_s * 2 ** min(record.failures - 1, 10)
        pause_s = min(pause_s, self.max_backoff_s)
        record.retry_at = now + pause_s * self.random_state_.uniform(0.5, 1.0)
        view.state = base.State.SUSPECT

    def _end_probe(self, view):
        record = self._get_records().get(view.name)
        if record is not None:
            record.probing = False
