"""One attempt of a request at one upstream."""

import asyncio

from catkinshunt import dispatch
from catkinshunt import errors
from catkinshunt.gateway import _admission
from catkinshunt.gateway import _relay
from catkinshunt.gateway import base
from catkinshunt import http1

#: Priority in the queue of an engine by `dispatch.Rank`, from 0 (highest) to
#: 9. Early requests precede the usual priority, 5, and the others follow it.
PRIORITY_BY_RANK = {
    dispatch.Rank.EARLY: 4,
    dispatch.Rank.DOUBTFUL: 6,
    dispatch.Rank.LATE: 7,
}


class LimitUsedUpError(errors.OverloadedError):
    """Not run: another request has used up the limit of the upstream."""


class UnavailableError(errors.OverloadedError):
    """Not run: the upstream leaves, backs off or is outdated meanwhile."""


class Attempt:
    """Sends a request to one upstream and relays the reply.

    Args:
        exchange: the `Exchange` of the request.
        candidate: the selected `dispatch.Candidate`.
        asked_at: when its sidecar, if it has replied, was asked for a permit,
            on the boot-time clock; else None.
        parent_failover: the `_failover.Failover` that this attempt is part
            of, or None. The attempt that started it may still wait for its
            own reply.

    Attributes:
        job: the `dispatch.Job` of the attempt; None before `run`.
        sent_at: time at which the request was sent, or None.
        failover: the `_failover.Failover` that this attempt has started, as
            its upstream is unresponsive, or None.
        ended_at_close: whether the relayed reply was delimited by the end of
            its connection, see `http1.EndOfReply`.
    """

    def __init__(
        self, exchange, candidate, asked_at=None, parent_failover=None
    ):
        self.exchange = exchange
        self.context = exchange.context
        self.progress = exchange.progress
        self.candidate = candidate
        self.asked_at = asked_at
        self.parent_failover = parent_failover
        self.job = None
        self.sent_at = None
        self.failover = None
        self.ended_at_close = False

    @property
    def has_concurrent_attempt(self):
        """Whether another attempt of the request may still be answered."""
        if self.failover is not None:
            return True
        return (
            self.parent_failover is not None
            and self.parent_failover.is_first_awaited
        )

    def begin_reply(self):
        """Record that the reply is relayed.

        It ends the attempt that started `parent_failover`.
        """
        if self.parent_failover is not None:
            self.parent_failover.begin_reply()

    async def run(self):
        """Make the attempt; raise an `errors.RequestError` if it fails."""
        upstream = self.candidate.upstream
        self._check_may_send()
        if not self.context.rate_limiter.take(
            upstream.key, self.context.boot_clock()
        ):
            raise LimitUsedUpError(
                f'{upstream.id}: limit used up by another request',
                step='send',
            )
        state = self.candidate.state
        self.job = state.begin(
            self.exchange.selection.make_job(), self.context.clock()
        )
        self.job.predicted_s = self.candidate.delay_s
        self.job.rank = self._rank()
        try:
            await self._send()
            self._record_success()
        except errors.RefusedError:
            # Not run, so not recorded as a failure of the upstream here.
            raise
        except _relay.ConnectionLostError:
            self.exchange.quarantine_check.record_broken_connection(
                upstream, self.context.clock() - self.sent_at
            )
            state.record_failure(self.context.clock())
            raise
        except errors.RequestError:
            state.record_failure(self.context.clock())
            raise
        finally:
            state.end(self.job)

    def _record_success(self):
        now = self.context.clock()
        self.candidate.state.record_success(now)
        quarantine_check = self.exchange.quarantine_check
        if self.ended_at_close:
            quarantine_check.record_end_at_close(
                self.candidate.upstream, now - self.sent_at
            )
        else:
            quarantine_check.record_completion()

    def _check_may_send(self):
        """Raise if the request must not be sent to the chosen upstream.

        It may have waited for a permit or a connection, and this process may
        have been suspended meanwhile.
        """
        # A request that was sent before stays admitted, also for a retry.
        if self.exchange.decision.account and not self.progress.sends:
            _admission.check_key_trust(
                self.context.catalog, self.context.boot_clock()
            )
        self._check_available()

    def _check_available(self):
        """Raise if the upstream became unavailable after it was chosen."""
        upstream = self.candidate.upstream
        selection = self.exchange.selection
        if not selection.is_available(upstream):
            raise UnavailableError(
                f'{upstream.id}: became unavailable after it was chosen',
                step='send',
            )
        if selection.is_outdated(upstream, 0.0):
            # It may have been the last one, and load a newer version.
            self.progress.reloading.add(upstream.key)
            raise UnavailableError(
                f'{upstream.id}: its version became outdated after it was'
                ' chosen',
                step='send',
            )
        if selection.may_miss_version(self.asked_at):
            # Its sidecar may be asked again.
            self.progress.reloading.add(upstream.key)
            raise UnavailableError(
                f'{upstream.id}: a version may be due that is not known',
                step='send',
            )

    async def _send(self):
        pool = self.context.pool(self.candidate.upstream)
        conn = await self._connect(pool)
        try:
            self._check_may_send()
            # It may have been quarantined while it waited for a connection.
            self.exchange.quarantine_check.begin()
        except errors.RefusedError:
            pool.release(conn)
            raise
        self.progress.notes.append(
            f'sent with rank {self.job.rank.name.lower()}'
        )
        self.progress.sends += 1
        self.progress.sent_to.add(self.candidate.upstream.key)
        self.sent_at = self.context.clock()
        is_reusable = False
        try:
            is_head = self.exchange.req.method == 'HEAD'
            conn.send(*self._request_bytes(), self._is_foreign, is_head)
            relay = _relay.Relay(self, conn, pool.peer)
            is_reusable = await relay.run()
            self.ended_at_close = relay.ended_at_close
        except asyncio.CancelledError:
            # The client disconnected, the deadline passed, or another
            # upstream replied. Without a first byte, the time so far is a
            # lower bound of the delay.
            now = self.context.clock()
            if (
                not self.job.reply_started
                and not self.candidate.state.is_unresponsive(now)
            ):
                self.record_delay(now - self.sent_at)
            raise
        finally:
            if is_reusable:
                pool.release(conn)
            else:
                conn.reset()

    async def _connect(self, pool):
        """Return a connection to the upstream."""
        # An upstream may close an idle connection as the request arrives, and
        # whether it ran is then unknown. Requests that must not run twice use
        # a new connection. So do those whose replies could not be told from
        # the late reply to an earlier request: a request without an id, and
        # one that the upstream was sent before.
        fresh = (
            not self.exchange.decision.serve.repeatable
            or not self.exchange.info.id
            or self.candidate.upstream.key in self.progress.sent_to
        )
        try:
            return await pool.acquire(fresh=fresh)
        except errors.RefusedError:
            # The connection was not established.
            self.candidate.state.record_refused_connection(
                self.context.clock()
            )
            raise

    def _is_foreign(self, head):
        """Return whether an `http1.ReplyHead` replies to another request."""
        request_id = self.context.dialect.reply_request_id(head)
        return request_id not in ('', self.exchange.info.id)

    def _request_bytes(self):
        req = self.exchange.req
        left_s = self.exchange.deadline - self.context.clock()
        last_event_id = self.progress.last_event_id
        attempt = base.AttemptInfo(
            self.candidate.upstream.id,
            left_s,
            self.exchange.decision.account,
            '' if last_event_id is None else str(last_event_id),
            self._priority(),
        )
        items = self.context.dialect.upstream_headers(
            req, self.exchange.info, attempt
        )
        if req.body or req.method in ('POST', 'PUT', 'PATCH'):
            items.append(('Content-Length', str(len(req.body))))
        first = f'{req.method} {req.target} HTTP/1.1'
        return http1.dump_head(first, items), req.body

    def _rank(self):
        """Return how the predicted first byte compares with the target.

        This `dispatch.Rank` determines the priority at the engine.
        """
        if self.progress.head_sent:
            # The client is reading the stream and disconnects if it stalls;
            # requests of a lower rank wait for seconds in a burst.
            return dispatch.Rank.EARLY
        now = self.context.clock()
        return self._delay_corrector().rank(
            now - self.exchange.req.received_at + self.progress.prior_wait_s,
            self.candidate.delay_s,
            self.exchange.decision.serve.goal_s,
            now,
        )

    def record_delay(self, delay_s):
        """Record the time to the first byte of the attempt, in seconds."""
        # Requests of lower ranks wait in the engine's queue by design, so
        # their delays do not show whether predictions are right.
        if self.job.rank == dispatch.Rank.EARLY:
            self._delay_corrector().observe(
                self.job.predicted_s, delay_s, self.context.clock()
            )

    def _delay_corrector(self):
        return self.context.delay_corrector(self.exchange.decision.service)

    def _priority(self):
        """Return the priority at an engine; None for a plain service."""
        if self.exchange.selection.engine_profile() is None:
            return None
        return PRIORITY_BY_RANK[self.job.rank]
