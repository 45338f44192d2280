"""Handling of one request, from admission to the end of its reply."""

import asyncio

import attrs

from catkinshunt import dispatch
from catkinshunt import errors
from catkinshunt.gateway import _admission
from catkinshunt.gateway import _permit_search
from catkinshunt.gateway import _quarantine_check
from catkinshunt.gateway import _relay
from catkinshunt.gateway import _selection
from catkinshunt.gateway import base
from catkinshunt import http1
from catkinshunt import logs
from catkinshunt import permits
from catkinshunt import retries

#: Seconds for which a request waits for a configuration and then for an
#: eligible upstream, together.
UPSTREAM_WAIT_S = 1.0
#: `Retry-After` in seconds if there was none by then.
NO_UPSTREAM_RETRY_S = 0.8
#: Priority in the queue of an engine by `dispatch.Rank`, from 0 (highest) to
#: 9. Early requests precede the usual priority, 5, and the others follow it.
PRIORITY_BY_RANK = {
    dispatch.Rank.EARLY: 4,
    dispatch.Rank.DOUBTFUL: 6,
    dispatch.Rank.LATE: 7,
}
#: Share of the retry burst reserved for requests at upstreams that fail or
#: become unresponsive. Retries after rejections by full upstreams leave it.
FAILOVER_RESERVE_SHARE = 0.5
#: Seconds after the stop signal in which new requests are still accepted. The
#: load balancer detects the stop after two health checks, a second apart.
STOP_ACCEPT_S = 3.0
#: Least time to the deadline for an attempt, in seconds.
MIN_REMAINING_S = 0.02

_log = logs.get_logger('exchange')


class DeadlineExceededError(errors.OutcomeUnknownError):
    """The deadline of the request has passed; it may have run.

    The code is unrelated to `Rank.LATE`, which refers to the target for the
    first byte.
    """

    status = 504
    code = 'late'


@attrs.define
class Progress:
    """Progress of one request.

    Attributes:
        head_sent: the head of the reply was sent to the client.
        last_event_id: id of the last event relayed, or None.
        sends: upstream attempts in which the request was sent.
        may_have_run: one of them may have run.
        tried: keys of the upstreams chosen so far, whether or not the request
            was sent there.
        reloading: those of them that were about to load another version.
        wait_until: end of the wait for a configuration and then for an
            eligible upstream, or None; set once per request.
        notes: short texts on each step, for the log field `tries`.
        first_s: seconds to the first byte of the reply, or None.
        entry_wait_s: seconds spent waiting here, for the configuration, an
            upstream or a permit.
        prior_wait_s: seconds that the client had waited in earlier client
            attempts.
    """

    head_sent: bool = False
    last_event_id: int | None = None
    sends: int = 0
    may_have_run: bool = False
    tried: set = attrs.field(factory=set)
    reloading: set = attrs.field(factory=set)
    wait_until: float | None = None
    notes: list = attrs.field(factory=list)
    first_s: float | None = None
    entry_wait_s: float = 0.0
    prior_wait_s: float = 0.0


class Exchange:
    """Answers one request of a client.

    Args:
        context: `Context` of the gateway.
        conn: `http1.ServerConnection` of the client.
        req: the `http1.Request`.
    """

    def __init__(self, context, conn, req):
        self.context = context
        self.conn = conn
        self.req = req
        self.info = None
        self.decision = None
        self.selection = None
        self.quarantine_check = None
        self.progress = Progress()
        self.deadline = None

    async def run(self):
        """Answer the request; return whether to keep the connection."""
        # Recorded if the task is cancelled, as for a closed connection, and
        # after an unexpected exception.
        outcome, reason = 'left', 'closed by the client, or unexpected error'
        try:
            await self._answer()
            outcome, reason = 'answered', None
        except errors.RequestError as exc:
            outcome, reason = exc.code, str(exc)
            return self._reply_error(exc)
        finally:
            self._record_outcome(outcome, reason)
        return self._keeps_alive()

    async def _answer(self):
        now = self.context.clock()
        self.info = self.context.dialect.decode_request(self.req)
        stopping = self.context.stopping_since
        if stopping is not None and now - stopping > STOP_ACCEPT_S:
            raise errors.LeavingError(
                'this process is stopping',
                step='admit',
                retry_after_s=_admission.STOPPING_RETRY_S,
            )
        await self._wait_for_configuration(now)
        self.decision = _admission.decide(
            self.context.catalog,
            self.info,
            self.context.random.random(),
            self.context.boot_clock(),
        )
        self.selection = _selection.Selection(
            self.context, self.info, self.decision
        )
        self.quarantine_check = _quarantine_check.QuarantineCheck(
            self.context.guard,
            self.req,
            self.info.host,
            self.decision.account,
        )
        limit_s = self.decision.serve.timeout_s
        if self.info.deadline_s is not None:
            limit_s = min(limit_s, self.info.deadline_s)
            self.progress.prior_wait_s = (
                self.context.client_retry_detector.estimate_wait_s(
                    self.decision.service, self.info.deadline_s, now
                )
            )
        self.deadline = self.req.received_at + limit_s
        if self.info.last_event_id:
            self.progress.last_event_id = int(self.info.last_event_id)
        self.context.retry_budget(self.decision.service).add_request()
        try:
            async with asyncio.timeout(self.deadline - self.context.clock()):
                await self._run_attempts()
        except TimeoutError as exc:
            raise self._timeout_error() from exc

    async def _wait_for_configuration(self, now):
        """Wait for the first configuration after the start of the process.

        After a power failure all clients connect at once, to entries that
        load the configuration within a second. If rejected, a client would
        retry at another entry without configuration until it stops retrying.
        """
        catalog = self.context.catalog
        if catalog.is_loaded:
            return
        wait_s = min(UPSTREAM_WAIT_S, self.info.deadline_s or UPSTREAM_WAIT_S)
        self.progress.wait_until = now + wait_s
        try:
            async with asyncio.timeout(wait_s):
                while not catalog.is_loaded:
                    await catalog.wait_for_change()
        except TimeoutError:
            # The admission that follows raises the error.
            return
        finally:
            self.progress.entry_wait_s += self.context.clock() - now

    def _timeout_error(self):
        if not self.progress.sends:
            return errors.OverloadedError(
                'no upstream accepted it in time', step='dispatch'
            )
        return DeadlineExceededError('deadline exceeded', step='answer')

    # Attempts.

    async def _run_attempts(self):
        while True:
            self._check_quarantine()
            candidate = await self._choose_upstream()
            search = _permit_search.PermitSearch(
                self.context,
                self.selection,
                self.progress,
                self._client_wait_s(),
                self.decision.serve.goal_s,
            )
            try:
                await self._run_attempt(
                    await self._acquire_permit(search, candidate)
                )
                return
            except permits.ReloadingError as exc:
                self.progress.notes.append(str(exc))
            except errors.RequestError as exc:
                self.progress.notes.append(str(exc))
                self._check_retry(exc)
            finally:
                search.close()

    def _check_quarantine(self):
        try:
            self.quarantine_check.check()
        except _quarantine_check.QuarantinedError as exc:
            raise self._final_error(exc) from exc

    async def _acquire_permit(self, search, candidate):
        """Return a candidate with a permit, or any if none is needed."""
        if self.selection.engine_profile() is None:
            return candidate
        if not self.context.permit_client.is_started:
            return candidate
        began = self.context.clock()
        try:
            found = await search.find(candidate)
            self._check_version(found)
            return found
        except permits.NoPermitError:
            if not self.progress.head_sent:
                raise
            # Send it without a permit: the client is reading the stream, and
            # engines give it precedence.
            return candidate
        finally:
            self.progress.entry_wait_s += self.context.clock() - began

    def _check_version(self, candidate):
        """Reject an engine whose version became outdated during the wait.

        Raises:
            permits.ReloadingError: its version is outdated.
        """
        if not self.selection.is_outdated(candidate.upstream, 0.0):
            return
        self.progress.reloading.add(candidate.upstream.key)
        raise permits.ReloadingError(
            f'{candidate.upstream.id}: version became outdated',
            step='take-place',
        )

    def _check_retry(self, exc):
        """Raise the final error unless the request may be retried."""
        progress = self.progress
        serve = self.decision.serve
        # A permit search includes the other engines, so it is not repeated.
        if isinstance(exc, permits.NoPermitError):
            raise self._final_error(exc)
        # `ran` is 'no', 'yes' or 'unknown'.
        progress.may_have_run |= exc.ran != 'no'
        # Until the request was first sent, a retry adds no load to upstreams
        # and costs no token.
        policy = retries.RetryPolicy(
            self.context.retry_budget(self.decision.service)
            if progress.sends
            else None,
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
        if retry.should_retry:
            return
        raise self._final_error(exc)

    def _final_error(self, exc):
        if self.progress.may_have_run and exc.ran == 'no':
            return errors.OutcomeUnknownError(
                'an earlier attempt may have run', step='dispatch'
            )
        return exc

    async def _choose_upstream(self):
        """Return the `dispatch.Candidate` for the next attempt.

        If no upstream is eligible, such as while all of them load a version
        that is due, waits for one until `progress.wait_until`.
        """
        progress = self.progress
        if progress.wait_until is None:
            progress.wait_until = self.context.clock() + UPSTREAM_WAIT_S
        while True:
            candidate = self.selection.take_next(progress)
            if candidate is not None:
                return candidate
            left_s = progress.wait_until - self.context.clock()
            if left_s <= 0 or not self._may_wait():
                raise self._final_error(
                    errors.OverloadedError(
                        'no upstream is available',
                        step='choose-upstream',
                        retry_after_s=NO_UPSTREAM_RETRY_S,
                    )
                )
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

    async def _run_attempt(self, candidate):
        """Make one attempt; raise an `errors.RequestError` if it fails."""
        # It may have been quarantined while it waited for a permit.
        self.quarantine_check.check()
        state = candidate.state
        job = state.begin(self.selection.make_job(), self.context.clock())
        job.predicted_s = candidate.delay_s
        job.rank = self._rank(candidate)
        try:
            await self._send_attempt(candidate, job)
            state.record_success(self.context.clock())
            self.quarantine_check.record_completion()
        except errors.RefusedError:
            # Not run, so not recorded as a failure of the upstream here.
            raise
        except _relay.ConnectionLostError:
            self.quarantine_check.record_broken_connection(candidate.upstream)
            state.record_failure(self.context.clock())
            raise
        except errors.RequestError:
            state.record_failure(self.context.clock())
            raise
        finally:
            state.end(job)

    async def _send_attempt(self, candidate, job):
        pool = self.context.pool(candidate.upstream)
        conn = await self._connect(pool, candidate.state)
        self.progress.notes.append(f'sent with rank {job.rank.name.lower()}')
        self.progress.sends += 1
        sent_at = self.context.clock()
        is_reusable = False
        try:
            conn.send(*self._request_bytes(candidate.upstream, job))
            relay = _relay.Relay(self, conn, candidate, job, pool.peer)
            is_reusable = await relay.run()
        except asyncio.CancelledError:
            # The client disconnected or the deadline passed. Without a first
            # byte, the time so far is a lower bound of the delay.
            now = self.context.clock()
            if not job.reply_started and not candidate.state.is_unresponsive(
                now
            ):
                self.record_delay(job, now - sent_at)
            raise
        finally:
            if is_reusable:
                pool.release(conn)
            else:
                conn.reset()

    async def _connect(self, pool, state):
        """Return a connection to an upstream."""
        # An upstream may close an idle connection as the request arrives, and
        # whether it ran is then unknown. Requests that must not run twice use
        # a new connection.
        fresh = not self.decision.serve.repeatable
        try:
            return await pool.acquire(fresh=fresh)
        except errors.RefusedError:
            # The connection was not established.
            state.record_refused_connection(self.context.clock())
            raise

    def _request_bytes(self, upstream, job):
        left_s = self.deadline - self.context.clock()
        last_event_id = self.progress.last_event_id
        attempt = base.AttemptInfo(
            upstream.id,
            left_s,
            self.decision.account,
            '' if last_event_id is None else str(last_event_id),
            self._priority(job),
        )
        items = self.context.dialect.upstream_headers(
            self.req, self.info, attempt
        )
        if self.req.body or self.req.method in ('POST', 'PUT', 'PATCH'):
            items.append(('Content-Length', str(len(self.req.body))))
        first = f'{self.req.method} {self.req.target} HTTP/1.1'
        return http1.dump_head(first, items), self.req.body

    def _rank(self, candidate):
        """Return how the predicted first byte compares with the target.

        This `dispatch.Rank` determines the priority at the engine.
        """
        if self.progress.head_sent:
            # The client is reading the stream and disconnects if it stalls;
            # requests of a lower rank wait for seconds in a burst.
            return dispatch.Rank.EARLY
        now = self.context.clock()
        return self.context.delay_corrector(self.decision.service).rank(
            now - self.req.received_at + self.progress.prior_wait_s,
            candidate.delay_s,
            self.decision.serve.goal_s,
            now,
        )

    def _client_wait_s(self):
        """Return the seconds since the client first sent the request.

        Includes earlier client attempts. None if the client is already
        reading the reply.
        """
        if self.progress.head_sent:
            return None
        elapsed_s = self.context.clock() - self.req.received_at
        return elapsed_s + self.progress.prior_wait_s

    def record_delay(self, job, delay_s):
        """Record the time to the first byte of an attempt, in seconds."""
        # Requests of lower ranks wait in the engine's queue by design, so
        # their delays do not show whether predictions are right.
        if job.rank == dispatch.Rank.EARLY:
            delay_corrector = self.context.delay_corrector(
                self.decision.service
            )
            delay_corrector.observe(
                job.predicted_s, delay_s, self.context.clock()
            )

    def _priority(self, job):
        """Return the priority at an engine; None for a plain service."""
        if self.selection.engine_profile() is None:
            return None
        return PRIORITY_BY_RANK[job.rank]

    def can_fail_over(self):
        """Return whether the request could be retried elsewhere."""
        if not self.decision.serve.repeatable:
            return False
        if self.progress.sends >= self.decision.serve.max_tries:
            return False
        # With the retry budget spent the request would fail, while the
        # current upstream may still answer.
        if not self.context.retry_budget(self.decision.service).has_token():
            return False
        return self.selection.has_untried(self.progress.tried)

    # Replies to the client.

    def _keeps_alive(self):
        return self.req.keep_alive and self.context.stopping_since is None

    def connection_headers(self):
        """Return the header items on the state of the connection."""
        return [] if self._keeps_alive() else [('Connection', 'close')]

    def record_first_byte(self):
        """Record the time to the first byte of the reply."""
        if self.progress.first_s is None:
            self.progress.first_s = self.context.clock() - self.req.received_at

    def _reply_error(self, exc):
        """Send an error reply; return whether to keep the connection."""
        if self.progress.head_sent:
            # A regular end would make the truncated reply look complete.
            self.conn.abort()
            return False
        if isinstance(exc, errors.OverloadedError):
            self.context.client_retry_detector.record_rejection(
                self.context.clock()
            )
        items = self.context.dialect.reply_headers(self.info)
        if exc.retry_after_s is not None and exc.ran == 'no':
            items.append(('Retry-After', f'{exc.retry_after_s:g}'))
        keeps_alive = self._keeps_alive() and not isinstance(
            exc, _admission.StaleError
        )
        if not keeps_alive:
            items.append(('Connection', 'close'))
        body = f'{exc.code}: {exc.message}\n'.encode()
        items.append(('Content-Type', 'text/plain'))
        self.conn.write(http1.dump_reply(exc.status, items, body))
        return keeps_alive

    def _record_outcome(self, outcome, reason):
        """Update the metrics and log the outcome of the request."""
        now = self.context.clock()
        decision = self.decision
        service = decision.service if decision else ''
        self.context.metrics.record(
            service, outcome, now - self.req.received_at, self.progress
        )
        age_s = self.context.catalog.age_s(self.context.boot_clock())
        _log.info(
            'Request {} ended as {}.',
            self.info.id if self.info else '?',
            outcome,
            request=self.info.id if self.info else None,
            outcome=outcome,
            reason=reason,
            service=service,
            rule=decision.rule if decision else None,
            account=decision.account if decision else None,
            revision=self._revision(),
            age_s=_rounded(age_s),
            before_s=_rounded(self.progress.prior_wait_s),
            waited_s=_rounded(self.progress.entry_wait_s),
            # The notes on each step; `sends` is the count of attempts.
            tries=self.progress.notes,
            sends=self.progress.sends,
            events_to=self.progress.last_event_id,
            first_s=_rounded(self.progress.first_s),
            took_s=_rounded(now - self.req.received_at),
        )

    def _revision(self):
        """Return the revision in force, also for a rejected request."""
        if self.decision is not None:
            return self.decision.revision
        declaration = self.context.catalog.declaration
        return declaration.revision if declaration else None


def _rounded(seconds):
    return None if seconds is None else round(seconds, 4)
