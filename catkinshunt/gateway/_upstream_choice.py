"""Choice of an upstream for the next attempt, or the reason for none."""

import math

from catkinshunt import errors
from catkinshunt import rate_limits

#: Seconds for which a request waits for a configuration and then for an
#: eligible upstream, together.
UPSTREAM_WAIT_S = 1.0
#: `Retry-After` in seconds if there was none by then, and no upstream has
#: stated when it takes requests again.
NO_UPSTREAM_RETRY_S = 0.8


class BackOffError(errors.OverloadedError):
    """Not run: all upstreams that could answer have asked for back-off."""

    code = 'back-off'


class UpstreamChoice:
    """Chooses the upstream for each attempt of one request.

    Args:
        context: `Context` of the gateway.
        selection: the `Selection` of the request.
        progress: the `Progress` of the request.
        service: name of the service that answers the request.
    """

    def __init__(self, context, selection, progress, service):
        self.context = context
        self.selection = selection
        self.progress = progress
        self.service = service

    async def choose(self):
        """Return the `dispatch.Candidate` for the next attempt.

        If no upstream is eligible, such as while all of them load a version
        that is due, waits for one until `progress.wait_until`. If all of them
        leave, have asked for back-off or are limited, there is nothing to wait
        for.

        Raises:
            errors.OverloadedError: there is none.
        """
        progress = self.progress
        if progress.wait_until is None:
            progress.wait_until = self.context.clock() + UPSTREAM_WAIT_S
        while True:
            candidate = self.selection.take_next(progress)
            if candidate is not None:
                return candidate
            self._check_rate_limits()
            left_s = progress.wait_until - self.context.clock()
            if left_s <= 0 or not self._may_wait():
                raise self._no_upstream_error()
            began = self.context.clock()
            await self.selection.wait_for_change(left_s)
            progress.entry_wait_s += self.context.clock() - began
            # Consider them again; one that did not load another version yet
            # is still paused, and is only chosen if all others are too.
            progress.tried -= progress.reloading
            progress.reloading.clear()

    def _may_wait(self):
        return (
            not self.progress.sends and self.selection.may_become_available()
        )

    def _no_upstream_error(self):
        back_off_s = self.selection.next_back_off_end_s()
        if (
            back_off_s is not None
            and not self.selection.may_become_available()
        ):
            return BackOffError(
                'the upstreams that could answer want no requests for a while',
                step='choose-upstream',
                retry_after_s=round_up_ms(back_off_s),
            )
        retry_after_s = NO_UPSTREAM_RETRY_S
        if back_off_s is not None:
            retry_after_s = min(retry_after_s, back_off_s)
        return errors.OverloadedError(
            f'no upstream is available: {self.selection.describe_listed()}',
            step='choose-upstream',
            retry_after_s=round_up_ms(retry_after_s),
        )

    def _check_rate_limits(self):
        """Reject the request if it waits for upstreams with limits only.

        A request at another entry, or later, may be within a limit.
        """
        limited = self.selection.rate_limited()
        if not limited or self.progress.reloading:
            return
        rate_per_s = self.context.rate_limiter.entry_rate(
            upstream.key for upstream in limited
        )
        schedule = self.context.retry_schedule(self.service)
        wait_s = schedule.next_s(rate_per_s, self.context.clock())
        back_off_s = self.selection.next_back_off_end_s()
        raise rate_limits.RateLimitedError(
            f'the limits of {len(limited)} upstreams are used up',
            step='choose-upstream',
            retry_after_s=round_up_ms(
                wait_s if back_off_s is None else min(wait_s, back_off_s)
            ),
        )


def round_up_ms(seconds):
    """Return seconds rounded up to a millisecond.

    Clients that return a moment too early would be rejected once more.

    Examples:
        >>> round_up_ms(0.2501), round_up_ms(3.0)
        (0.251, 3.0)
    """
    return math.ceil(seconds * 1000) / 1000
