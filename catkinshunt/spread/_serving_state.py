"""Records why an engine serves no requests."""

import enum
import math

import attrs

from catkinshunt import logs

#: Interval of log lines while the engine does not serve for one reason.
REPORT_INTERVAL_S = 5.0

_log = logs.get_logger('agent')


class Reason(enum.Enum):
    """Why an engine serves no requests; the value is a metric label."""

    UNREACHABLE = 'unreachable'
    LEAVING = 'leaving'
    LOADING = 'loading'
    DAMAGED = 'damaged'
    NO_VERSION = 'no-version'
    TRANSFER = 'transfer'
    LOAD_PENDING = 'load-pending'


@attrs.frozen
class Obstacle:
    """What keeps an engine from serving.

    Attributes:
        reason: `Reason`.
        detail: text for logs.
    """

    reason: Reason
    detail: str = ''


class ServingState:
    """Logs each change of the obstacle, and one that lasts periodically."""

    def __init__(self):
        self._obstacle = None
        self._since = None
        self._reported_at = -math.inf

    def update(self, obstacle, now):
        """Record the present `Obstacle`, None if the engine serves.

        Args:
            obstacle: what keeps the engine from serving, or None.
            now: seconds on the monotonic clock.
        """
        reason = obstacle.reason if obstacle else None
        known = self._obstacle.reason if self._obstacle else None
        if obstacle is not None and self._since is None:
            self._since = now
        has_changed = reason != known
        self._obstacle = obstacle
        if obstacle is None:
            if has_changed:
                _log.info('The engine serves.', after_s=self._elapsed_s(now))
                self._since = None
        elif has_changed or now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            _log.info(
                'The engine does not serve: {}. {}',
                obstacle.reason.value,
                obstacle.detail,
                for_s=self._elapsed_s(now),
            )

    def counts(self):
        """Return 1 for the present reason by (reason,), metric labels."""
        if self._obstacle is None:
            return {}
        return {(self._obstacle.reason.value,): 1}

    def _elapsed_s(self, now):
        return round(now - self._since, 3)
