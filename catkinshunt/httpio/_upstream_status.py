"""What an upstream states of itself in its replies to this process."""

import math
import threading

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors
from catkinshunt.httpio import headers
from catkinshunt import logs

#: Statuses with which an upstream turns a request away for a while.
REJECTION_STATUSES = (429, 503)

_log = logs.get_logger('upstream')


class UpstreamStatus(base.ParamsMixin):
    """Keeps whether an upstream leaves, and how long it wants no requests.

    Threads share it. An upstream that leaves says so in all its replies, so
    the newest reply tells whether it does.

    Examples:
        >>> status = UpstreamStatus()
        >>> status.observe(503, {'Retry-After': '1.5'}.get, now=2.0)
        >>> status.back_off_s(now=3.0), status.is_leaving
        (0.5, False)
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._backs_off_until = -math.inf
        self._is_leaving = False

    @property
    def is_leaving(self):
        """Whether the newest reply states that the upstream leaves."""
        return self._is_leaving

    def back_off_s(self, now):
        """Return the seconds left of the back-off that it asked for."""
        return max(0.0, self._backs_off_until - now)

    def check_back_off(self, now, step, peer):
        """Raise if the upstream wants no requests now.

        Args:
            now: seconds, monotonic.
            step: step for the error.
            peer: address of the upstream, for the error.

        Raises:
            errors.RefusedError: it asked for back-off; nothing was sent.
        """
        back_off_s = self.back_off_s(now)
        if back_off_s > 0:
            raise errors.RefusedError(
                'the upstream wants no requests for a while',
                step=step,
                peer=peer,
                retry_after_s=math.ceil(back_off_s * 1000) / 1000,
            )

    def observe(self, status, get_header, now):
        """Record what a reply states.

        Args:
            status: status of the reply.
            get_header: function that returns the value of a header, or None.
            now: seconds, monotonic.
        """
        is_leaving = get_header(headers.UPSTREAM_LEAVING) == '1'
        back_off_s = 0.0
        if status in REJECTION_STATUSES:
            back_off_s = _read_back_off(get_header(headers.RETRY_AFTER))
        with self._lock:
            if is_leaving != self._is_leaving:
                self._is_leaving = is_leaving
                _log.info(
                    'The upstream states that it leaves.'
                    if is_leaving
                    else 'The upstream has started anew.'
                )
            if now + back_off_s > self._backs_off_until and back_off_s > 0:
                self._backs_off_until = now + back_off_s
                _log.info(
                    'The upstream wants no requests for {:g} s.', back_off_s
                )


def _read_back_off(text):
    if text is None:
        return 0.0
    try:
        return checks.parse_back_off_s(text)
    except ValueError as exc:
        _log.warning('Ignored an invalid Retry-After: {}.', exc)
        return 0.0
