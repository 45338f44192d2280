"""Decides whether a request may be sent to another upstream."""

from catkinshunt import errors
from catkinshunt import permits
from catkinshunt import retries

#: Share of the retry burst reserved for requests at upstreams that fail or
#: become unresponsive. Retries after rejections by full upstreams leave it.
FAILOVER_RESERVE_SHARE = 0.5
#: Least time to the deadline for an attempt, in seconds.
MIN_REMAINING_S = 0.02
#: No failover leads to an engine whose version becomes outdated within this
#: many seconds. The request may wait as long there, and would be withdrawn.
FAILOVER_VERSION_LEAD_S = 1.5


class RetryCheck:
    """Decides on the retries and failovers of one request.

    Args:
        context: `Context` of the gateway.
        decision: the `_admission.Decision` on the request.
        selection: the `Selection` of the request.
        progress: the `Progress` of the request.
        deadline: end of the time for the request, in seconds on the monotonic
            clock.
    """

    def __init__(self, context, decision, selection, progress, deadline):
        self.context = context
        self.decision = decision
        self.selection = selection
        self.progress = progress
        self.deadline = deadline

    def check(self, exc):
        """Raise the final error unless the request may be retried.

        A retry that is allowed takes a token of the retry budget.

        Args:
            exc: the `errors.RequestError` of the last attempt.
        """
        progress = self.progress
        serve = self.decision.serve
        # A permit search includes the other engines, so it is not repeated.
        if isinstance(exc, permits.NoPermitError):
            raise self.final_error(exc)
        # `ran` is 'no', 'yes' or 'unknown'.
        progress.may_have_run |= exc.ran != 'no'
        if not progress.can_continue:
            progress.notes.append('not retried: the client has a part of it')
            raise self.final_error(exc)
        # Until the request was first sent, a retry adds no load to upstreams
        # and costs no token.
        policy = retries.RetryPolicy(
            self._budget() if progress.sends else None,
            max_tries=serve.max_tries,
            min_remaining_s=MIN_REMAINING_S,
            reserve=self.context.retry_burst * FAILOVER_RESERVE_SHARE,
        )
        retry = policy.decide(
            exc,
            serve.repeatable,
            progress.sends,
            self.deadline,
            self.context.clock(),
        )
        progress.notes.append(
            f'{"retried" if retry.should_retry else "not retried"}:'
            f' {retry.grounds}'
        )
        if not retry.should_retry:
            raise self.final_error(exc)

    def final_error(self, exc):
        """Return the error that the client gets.

        An error that says that the request was not run is only true if no
        earlier attempt may have run it.

        Args:
            exc: the `errors.RequestError` of the last attempt.
        """
        if self.progress.may_have_run and exc.ran == 'no':
            return errors.OutcomeUnknownError(
                'an earlier attempt may have run', step='dispatch'
            )
        return exc

    def can_fail_over(self):
        """Return whether the request could be retried elsewhere."""
        if not self.decision.serve.repeatable:
            return False
        if not self.progress.can_continue:
            return False
        if self.progress.sends >= self.decision.serve.max_tries:
            return False
        # With the retry budget spent the request would fail, while the
        # current upstream may still answer.
        if not self._budget().has_token():
            return False
        return self.selection.has_untried(
            self.progress.tried, FAILOVER_VERSION_LEAD_S
        )

    def _budget(self):
        return self.context.retry_budget(self.decision.service)
