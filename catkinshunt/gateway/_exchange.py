"""Handling of one request, from admission to the end of its reply."""

import asyncio

from catkinshunt import errors
from catkinshunt.gateway import _admission
from catkinshunt.gateway import _attempt
from catkinshunt.gateway import _failover
from catkinshunt.gateway import _outcome
from catkinshunt.gateway import _permit_search
from catkinshunt.gateway import _progress
from catkinshunt.gateway import _quarantine_check
from catkinshunt.gateway import _retry_check
from catkinshunt.gateway import _selection
from catkinshunt.gateway import _upstream_choice
from catkinshunt import http1
from catkinshunt import permits

#: Seconds after the stop signal in which new requests are still accepted. The
#: load balancer detects the stop after two health checks, a second apart.
STOP_ACCEPT_S = 3.0
#: Status of a malformed request.
MALFORMED_STATUS = 400


class DeadlineExceededError(errors.OutcomeUnknownError):
    """The deadline of the request has passed; it may have run.

    The code is unrelated to `Rank.LATE`, which refers to the target for the
    first byte.
    """

    status = 504
    code = 'late'


class Exchange:
    """Answers one request of a client.

    Args:
        context: `Context` of the gateway.
        conn: `http1.ServerConnection` of the client.
        req: the `http1.Request`.

    Attributes:
        progress: `Progress` of the request.
        info: `base.RequestInfo`; None before the request is decoded.
        decision: `_admission.Decision`. This and the attributes below are
            None before the request is admitted.
        selection: `Selection` of the request.
        upstream_choice: `UpstreamChoice` of the request.
        quarantine_check: `QuarantineCheck` of the request.
        retry_check: `RetryCheck` of the request.
        deadline: end of its time, in seconds on the monotonic clock.
    """

    def __init__(self, context, conn, req):
        self.context = context
        self.conn = conn
        self.req = req
        self.info = None
        self.decision = None
        self.selection = None
        self.upstream_choice = None
        self.quarantine_check = None
        self.retry_check = None
        self.progress = _progress.Progress()
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
            _outcome.record(self, outcome, reason)
        return self._keeps_alive()

    async def _answer(self):
        now = self.context.clock()
        self.info = self.context.dialect.decode_request(self.req)
        self.context.request_audit.observe(
            self.info, self.context.boot_clock()
        )
        self._check_stopping(now)
        await self._wait_for_configuration(now)
        self._admit()
        self._set_deadline(now)
        self.retry_check = _retry_check.RetryCheck(
            self.context,
            self.decision,
            self.selection,
            self.progress,
            self.deadline,
        )
        if self.info.last_event_id:
            self.progress.last_event_id = int(self.info.last_event_id)
        self.context.retry_budget(self.decision.service).add_request()
        try:
            async with asyncio.timeout(self.deadline - self.context.clock()):
                await self._run_attempts()
        except TimeoutError as exc:
            # The time may be up just as the last byte was written.
            if not self.progress.is_complete:
                raise self._timeout_error() from exc

    def _check_stopping(self, now):
        """Raise `errors.LeavingError` if this process has long been stopping.

        Args:
            now: seconds on the monotonic clock.
        """
        stopping = self.context.stopping_since
        if stopping is not None and now - stopping > STOP_ACCEPT_S:
            raise errors.LeavingError(
                'this process is stopping',
                step='admit',
                retry_after_s=_admission.STOPPING_RETRY_S,
            )

    def _admit(self):
        """Decide on the request, and prepare its attempts."""
        self.decision = _admission.decide(
            self.context.catalog,
            self.info,
            self.context.random.random(),
            self.context.boot_clock(),
        )
        self.selection = _selection.Selection(
            self.context, self.info, self.decision
        )
        self.upstream_choice = _upstream_choice.UpstreamChoice(
            self.context, self.selection, self.progress, self.decision.service
        )
        self.quarantine_check = _quarantine_check.QuarantineCheck(
            self.context.guard,
            self.req,
            self.info.host,
            self.decision.account,
            self._needs_permit(),
            self.info.prompt_parts,
        )

    def _set_deadline(self, now):
        """Set the deadline, and the time waited in earlier client attempts.

        Args:
            now: seconds on the monotonic clock when the request was decoded.
        """
        timeout_s = self.decision.serve.timeout_s
        if self.info.deadline_s is not None:
            timeout_s = min(timeout_s, self.info.deadline_s)
            self.progress.prior_wait_s = (
                self.context.client_retry_detector.estimate_wait_s(
                    self.decision.service, self.info.deadline_s, now
                )
            )
        self.deadline = self.req.received_at + timeout_s

    async def _wait_for_configuration(self, now):
        """Wait for the first configuration after the start of the process.

        After a power failure all clients connect at once, to entries that
        load the configuration within a second. If rejected, a client would
        retry at another entry without configuration until it stops retrying.
        """
        catalog = self.context.catalog
        if catalog.is_loaded:
            return
        wait_s = _upstream_choice.UPSTREAM_WAIT_S
        wait_s = min(wait_s, self.info.deadline_s or wait_s)
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

    async def _run_attempts(self, failover=None):
        """Make attempts until the reply of one is relayed.

        Args:
            failover: the `_failover.Failover` that makes them, or None.
        """
        while True:
            await self.quarantine_check.wait_for_crash_checks()
            self._check_quarantine()
            candidate = await self._choose_upstream()
            search = _permit_search.PermitSearch(
                self.context,
                self.selection,
                self.progress,
                self._client_wait_s(),
                self.decision.serve.goal_s,
                self.quarantine_check.is_isolated(),
            )
            try:
                candidate = await self._acquire_permit(search, candidate)
                await self._run_attempt(candidate, search, failover)
                return
            except (
                permits.ReloadingError,
                _attempt.LimitUsedUpError,
                _attempt.UnavailableError,
            ) as exc:
                # The request was not sent, so the next choice is no retry.
                self.progress.notes.append(str(exc))
            except _admission.StaleError as exc:
                raise self.retry_check.final_error(exc) from exc
            except errors.RequestError as exc:
                self.progress.notes.append(str(exc))
                self.retry_check.check(exc)
            finally:
                search.close()

    def _check_quarantine(self):
        try:
            self.quarantine_check.check()
        except _quarantine_check.QuarantinedError as exc:
            self.progress.notes.append(str(exc))
            raise self.retry_check.final_error(exc) from exc

    def _needs_permit(self):
        """Return whether sidecars admit the requests to the service."""
        if self.selection.engine_profile() is None:
            return False
        return self.context.permit_client.is_started

    async def _acquire_permit(self, search, candidate):
        """Return a candidate with a permit, or any if none is needed."""
        if not self._needs_permit():
            return candidate
        began = self.context.clock()
        try:
            found = await search.find(candidate)
        except permits.NoPermitError:
            if not self.progress.head_sent:
                raise
            # The client is already reading the stream, so it is resumed
            # without a permit. Engines give it precedence.
            found = search.choose_without_permit(candidate)
            if found is None:
                raise
        finally:
            self.progress.entry_wait_s += self.context.clock() - began
        return found

    async def _choose_upstream(self):
        """Return the `dispatch.Candidate` for the next attempt."""
        try:
            return await self.upstream_choice.choose()
        except errors.OverloadedError as exc:
            raise self.retry_check.final_error(exc) from exc

    async def _run_attempt(self, candidate, search, failover):
        """Make one attempt.

        Args:
            candidate: the `dispatch.Candidate`.
            search: the `PermitSearch` that holds the permit for it.
            failover: the `_failover.Failover` that it is part of, or None.
        """
        # During the wait for a permit, a concurrent attempt may have lost its
        # connection, or the request may have been quarantined.
        await self.quarantine_check.wait_for_crash_checks()
        self.quarantine_check.check()
        attempt = _attempt.Attempt(
            self, candidate, search.asked_at(candidate), failover
        )
        try:
            await attempt.run()
        except errors.RequestError as exc:
            if attempt.failover is None:
                raise
            self.progress.notes.append(str(exc))
            search.close()
            await attempt.failover.replace_first()
        finally:
            if attempt.failover is not None:
                attempt.failover.cancel()

    def start_failover(self, exc, parent):
        """Start further attempts while one waits for its reply.

        Args:
            exc: the `errors.RequestError` that another upstream would avoid.
            parent: the `_failover.Failover` that the waiting attempt is part
                of, or None.

        Returns:
            The `_failover.Failover`, or None if no retry is allowed.
        """
        self.progress.notes.append(str(exc))
        try:
            self.retry_check.check(exc)
        except errors.RequestError:
            return None
        self.selection.version_lead_s = _retry_check.FAILOVER_VERSION_LEAD_S
        return _failover.Failover(self._run_attempts, self.progress, parent)

    def end_failover(self, failover):
        """End a `_failover.Failover` whose attempts are not needed."""
        failover.cancel()
        if not failover.has_sent:
            self.context.retry_budget(self.decision.service).put_back()

    def _client_wait_s(self):
        """Return the seconds since the client first sent the request.

        Includes earlier client attempts. None if the client is already
        reading the reply.
        """
        if self.progress.head_sent:
            return None
        elapsed_s = self.context.clock() - self.req.received_at
        return elapsed_s + self.progress.prior_wait_s

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
        if exc.status == MALFORMED_STATUS:
            # A client that does not follow the protocol may have sent
            # thousands of such requests ahead.
            keeps_alive = False
        if not keeps_alive:
            items.append(('Connection', 'close'))
        body = f'{exc.code}: {exc.message}\n'.encode()
        items.append(('Content-Type', 'text/plain'))
        self.conn.write(
            http1.dump_reply(exc.status, items, body, self.req.method)
        )
        return keeps_alive
