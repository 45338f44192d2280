"""One request, from its decision to the last byte of its answer."""

import asyncio

import attrs

from catkinshunt import dispatch
from catkinshunt import errors
from catkinshunt.gateway import _admission
from catkinshunt.gateway import _relay
from catkinshunt.gateway import _seat
from catkinshunt.gateway import _selection
from catkinshunt.gateway import _suspicion
from catkinshunt.gateway import base
from catkinshunt import http1
from catkinshunt import logs
from catkinshunt import places
from catkinshunt import retries

#: Seconds for which a request waits for an upstream that may take it.
HOLD_S = 1.0
#: Seconds after which a caller may come back when none was there by then.
NO_UPSTREAM_RETRY_S = 0.8
#: Priority at an engine by rank, from 0 (first) to 9; 5 is the usual one.
PRIORITIES = {
    dispatch.Rank.ON_TIME: 4,
    dispatch.Rank.AT_RISK: 6,
    dispatch.Rank.LATE: 7,
}
#: Share of the retry burst that is kept for requests at upstreams that break
#: or stand still.
MOVE_SHARE = 0.5
#: Seconds after the signal to stop in which new requests are still served:
#: the balancer needs two of its questions, a second apart, to notice.
STOPPING_SERVES_S = 3.0
#: Smallest time left that is worth a try, in seconds.
LEAST_LEFT_S = 0.02

_log = logs.get_logger('exchange')


class LateError(errors.OutcomeUnknownError):
    """The time of the request is over; it may have run."""

    status = 504
    code = 'late'


@attrs.define
class Progress:
    """What was sent to the caller, and what was tried.

    Attributes:
        head_sent: the head of the answer is with the caller.
        last_id: id of the last event passed on, or None.
        sends: tries whose request was sent.
        may_have_run: one of them may have run.
        tried: keys of the upstreams that were tried.
        reloading: those of them that are about to load another version.
        hold_until: when it stops waiting for an upstream, or None.
        notes: one word on each try, for the log.
        first_s: seconds until the first byte of the answer, or None.
        waited_s: seconds for which it waited for an upstream.
        before_s: seconds that its caller had waited before it asked.
    """

    head_sent: bool = False
    last_id: int | None = None
    sends: int = 0
    may_have_run: bool = False
    tried: set = attrs.field(factory=set)
    reloading: set = attrs.field(factory=set)
    hold_until: float | None = None
    notes: list = attrs.field(factory=list)
    first_s: float | None = None
    waited_s: float = 0.0
    before_s: float = 0.0


class Exchange:
    """Answers one request of a caller.

    Args:
        context: `Context` of the gateway.
        conn: `http1.ServerConnection` of the caller.
        req: the `http1.Request`.
    """

    def __init__(self, context, conn, req):
        self.context = context
        self.conn = conn
        self.req = req
        self.ask = None
        self.decision = None
        self.selection = None
        self.suspicion = None
        self.progress = Progress()
        self.end_at = None

    async def run(self):
        """Answer the request; return whether the connection stays usable."""
        outcome, reason = 'left', 'the caller closed the connection'
        try:
            await self._answer()
            outcome, reason = 'answered', None
        except errors.RequestError as exc:
            outcome, reason = exc.code, str(exc)
            return self._refuse(exc)
        finally:
            self._record(outcome, reason)
        return self._keeps()

    async def _answer(self):
        now = self.context.clock()
        self.ask = self.context.dialect.decode_request(self.req)
        stopping = self.context.stopping_since
        if stopping is not None and now - stopping > STOPPING_SERVES_S:
            raise errors.LeavingError(
                'this process stops',
                step='admit',
                retry_after_s=_admission.STOPPING_RETRY_S,
            )
        await self._wait_for_state(now)
        self.decision = _admission.decide(
            self.context.catalog,
            self.ask,
            self.context.random.random(),
            self.context.wall(),
        )
        self.selection = _selection.Selection(
            self.context, self.ask, self.decision
        )
        self.suspicion = _suspicion.Suspicion(
            self.context.guard,
            self.req,
            self.ask.host,
            self.decision.account,
        )
        limit_s = self.decision.serve.timeout_s
        if self.ask.deadline_s is not None:
            limit_s = min(limit_s, self.ask.deadline_s)
            self.progress.before_s = self.context.return_detector.waited_s(
                self.decision.service, self.ask.deadline_s, now
            )
        self.end_at = self.req.received_at + limit_s
        if self.ask.last_event_id:
            self.progress.last_id = int(self.ask.last_event_id)
        self.context.retry_budget(self.decision.service).offer()
        try:
            async with asyncio.timeout(self.end_at - self.context.clock()):
                await self._try_all()
        except TimeoutError as exc:
            raise self._late() from exc

    async def _wait_for_state(self, now):
        """Wait for a moment where this process has just started.

        After a loss of power all callers come at once, to entries that will
        know the configuration in less than a second. Refused, they come back
        to another one that does not know it either, and have no try left.
        """
        catalog = self.context.catalog
        if catalog.is_loaded:
            return
        hold_s = min(HOLD_S, self.ask.deadline_s or HOLD_S)
        self.progress.hold_until = now + hold_s
        try:
            async with asyncio.timeout(hold_s):
                while not catalog.is_loaded:
                    await catalog.wait_for_change()
        except TimeoutError:
            # What is missing is told by the decision that follows.
            return
        finally:
            self.progress.waited_s += self.context.clock() - now

    def _late(self):
        if not self.progress.sends:
            return errors.OverloadedError(
                'no upstream took it in time', step='dispatch'
            )
        return LateError('the time of the request is over', step='answer')

    # Tries.

    async def _try_all(self):
        while True:
            self._check_quarantine()
            candidate = await self._choose()
            finder = _seat.SeatFinder(
                self.context,
                self.selection,
                self.progress,
                self._waited_s(),
                self.decision.serve.goal_s,
            )
            try:
                await self._send(await self._find_seat(finder, candidate))
                return
            except places.ReloadingError as exc:
                self.progress.notes.append(str(exc))
            except errors.RequestError as exc:
                self.progress.notes.append(str(exc))
                self._judge(exc)
            finally:
                finder.close()

    def _check_quarantine(self):
        try:
            self.suspicion.check()
        except _suspicion.QuarantinedError as exc:
            raise self._final(exc) from exc

    async def _find_seat(self, finder, candidate):
        """Return the candidate that has a place; any where none is needed."""
        if self.selection.engine() is None:
            return candidate
        if not self.context.permit_client.is_started:
            return candidate
        began = self.context.clock()
        try:
            found = await finder.find(candidate)
            self._check_version(found)
            return found
        except places.NoPermitError:
            if not self.progress.head_sent:
                raise
            # Its caller is reading; the engine takes it before others.
            return candidate
        finally:
            self.progress.waited_s += self.context.clock() - began

    def _check_version(self, candidate):
        """Refuse an engine whose time ran out while a place was waited for.

        Raises:
            places.ReloadingError: no request may begin there any more.
        """
        if not self.selection.is_outdated(candidate.upstream, 0.0):
            return
        self.progress.reloading.add(candidate.upstream.key)
        raise places.ReloadingError(
            f'{candidate.upstream.id}: its version is too old by now',
            step='take-place',
        )

    def _judge(self, exc):
        """Raise what the request ends with unless it may be tried again."""
        progress = self.progress
        serve = self.decision.serve
        if isinstance(exc, places.NoPermitError):
            raise self._final(exc)
        progress.may_have_run |= exc.ran != 'no'
        policy = retries.RetryPolicy(
            self.context.retry_budget(self.decision.service)
            if progress.sends
            else None,
            max_tries=serve.max_tries,
            least_left_s=LEAST_LEFT_S,
            reserve=self.context.retry_burst * MOVE_SHARE,
        )
        verdict = policy.check(
            exc,
            serve.repeatable,
            progress.sends,
            self.end_at,
            self.context.clock(),
        )
        progress.notes.append(
            f'{verdict.grounds}, again {verdict.should_retry}'
        )
        if verdict.should_retry:
            return
        raise self._final(exc)

    def _final(self, exc):
        if self.progress.may_have_run and exc.ran == 'no':
            return errors.OutcomeUnknownError(
                'an earlier try may have run', step='dispatch'
            )
        return exc

    async def _choose(self):
        """Return the `dispatch.Candidate` for the next try.

        Where no upstream can take the request yet, such as while all load
        the version that is due, it waits for one for a moment.
        """
        progress = self.progress
        if progress.hold_until is None:
            progress.hold_until = self.context.clock() + HOLD_S
        while True:
            candidate = self.selection.find_next(progress)
            if candidate is not None:
                return candidate
            left_s = progress.hold_until - self.context.clock()
            if left_s <= 0 or not self._may_wait():
                raise self._final(
                    errors.OverloadedError(
                        'no upstream is there',
                        step='choose-upstream',
                        retry_after_s=NO_UPSTREAM_RETRY_S,
                    )
                )
            began = self.context.clock()
            await self.selection.wait_for_change(left_s)
            progress.waited_s += self.context.clock() - began
            # What loaded a version may take the request now.
            progress.tried -= progress.reloading
            progress.reloading.clear()

    def _may_wait(self):
        return not self.progress.sends and self.selection.is_worth_waiting()

    async def _send(self, candidate):
        """Make one try; raises an `errors.RequestError` where it failed."""
        # It may have been barred while it waited for a place.
        self.suspicion.check()
        state = candidate.state
        job = state.begin(self.selection.make_job(), self.context.clock())
        job.predicted_s = candidate.delay_s
        job.rank = self._rank(candidate)
        try:
            await self._send_job(candidate, job)
            state.record_success(self.context.clock())
            self.suspicion.note_completion()
        except errors.RefusedError:
            raise
        except _relay.BrokenOffError:
            self.suspicion.note_break(candidate.upstream)
            state.record_failure(self.context.clock())
            raise
        except errors.RequestError:
            state.record_failure(self.context.clock())
            raise
        finally:
            state.end(job)

    async def _send_job(self, candidate, job):
        pool = self.context.pool(candidate.upstream)
        conn = await self._connect(pool, candidate.state)
        self.progress.notes.append(f'sent as {job.rank.name.lower()}')
        self.progress.sends += 1
        sent_at = self.context.clock()
        whole = False
        try:
            conn.send(*self._request_bytes(candidate.upstream, job))
            relay = _relay.Relay(self, conn, candidate, job, pool.peer)
            whole = await relay.run()
        except asyncio.CancelledError:
            # The caller left, or its time is over, before the first byte.
            now = self.context.clock()
            if not job.answering and not candidate.state.is_unresponsive(now):
                self.learn_delay(job, now - sent_at)
            raise
        finally:
            if whole:
                pool.give_back(conn)
            else:
                conn.reset()

    async def _connect(self, pool, state):
        """Return a connection to an upstream."""
        # On a connection that lay idle a request can be lost without a sign
        # whether it ran; what must not run twice takes a new one.
        fresh = not self.decision.serve.repeatable
        try:
            return await pool.take(fresh=fresh)
        except errors.RefusedError:
            state.back_off(self.context.clock())
            raise

    def _request_bytes(self, upstream, job):
        left_s = self.end_at - self.context.clock()
        last_id = self.progress.last_id
        forward = base.AttemptInfo(
            upstream.id,
            left_s,
            self.decision.account,
            '' if last_id is None else str(last_id),
            self._priority(job),
        )
        items = self.context.dialect.upstream_headers(
            self.req, self.ask, forward
        )
        if self.req.body or self.req.method in ('POST', 'PUT', 'PATCH'):
            items.append(('Content-Length', str(len(self.req.body))))
        first = f'{self.req.method} {self.req.target} HTTP/1.1'
        return http1.dump_head(first, items), self.req.body

    def _rank(self, candidate):
        """Return the `dispatch.Rank` of the request at an upstream."""
        if self.progress.head_sent:
            # The caller is reading, and leaves where the stream stands still
            # for long; late ones wait for seconds in a burst.
            return dispatch.Rank.ON_TIME
        now = self.context.clock()
        return self.context.forecast(self.decision.service).rank(
            now - self.req.received_at + self.progress.before_s,
            candidate.delay_s,
            self.decision.serve.goal_s,
            now,
        )

    def _waited_s(self):
        """Return for how long the caller has waited since it first asked.

        None for one that is reading already.
        """
        if self.progress.head_sent:
            return None
        held_s = self.context.clock() - self.req.received_at
        return held_s + self.progress.before_s

    def learn_delay(self, job, delay_s):
        """Take in the seconds that a try took to its first byte."""
        if job.rank == dispatch.Rank.ON_TIME:
            forecast = self.context.forecast(self.decision.service)
            forecast.observe(job.predicted_s, delay_s, self.context.clock())

    def _priority(self, job):
        """Return the rank of the request at an engine, or None."""
        if self.selection.engine() is None:
            return None
        return PRIORITIES[job.rank]

    def can_move(self):
        """Return whether a try may be given up for one elsewhere."""
        if not self.decision.serve.repeatable:
            return False
        if self.progress.sends >= self.decision.serve.max_tries:
            return False
        # With the budget spent the request would end here, while the
        # upstream that it waits for may still answer.
        if not self.context.retry_budget(self.decision.service).has_token():
            return False
        return self.selection.has_other(self.progress.tried)

    # What the caller gets.

    def _keeps(self):
        return self.req.keep_alive and self.context.stopping_since is None

    def closing_items(self):
        """Return the headers that tell whether the connection stays."""
        return [] if self._keeps() else [('Connection', 'close')]

    def note_first(self):
        """Note that the answer has begun."""
        if self.progress.first_s is None:
            self.progress.first_s = self.context.clock() - self.req.received_at

    def _refuse(self, exc):
        """Answer with an error of our own; return whether to go on."""
        if self.progress.head_sent:
            # A proper end would make the broken answer look whole.
            self.conn.abort()
            return False
        if isinstance(exc, errors.OverloadedError):
            self.context.return_detector.record_rejection(self.context.clock())
        items = self.context.dialect.reply_headers(self.ask)
        if exc.retry_after_s is not None and exc.ran == 'no':
            items.append(('Retry-After', f'{exc.retry_after_s:g}'))
        keeps = self._keeps() and not isinstance(exc, _admission.StaleError)
        if not keeps:
            items.append(('Connection', 'close'))
        body = f'{exc.code}: {exc.message}\n'.encode()
        items.append(('Content-Type', 'text/plain'))
        self.conn.write(http1.dump_reply(exc.status, items, body))
        return keeps

    def _record(self, outcome, reason):
        """Count the request and write the line on it."""
        now = self.context.clock()
        decision = self.decision
        service = decision.service if decision else ''
        self.context.metrics.record(
            service, outcome, now - self.req.received_at, self.progress
        )
        age_s = self.context.catalog.age_s(self.context.wall())
        _log.info(
            'Request {} ended as {}.',
            self.ask.id if self.ask else '?',
            outcome,
            request=self.ask.id if self.ask else None,
            outcome=outcome,
            reason=reason,
            service=service,
            rule=decision.rule if decision else None,
            account=decision.account if decision else None,
            revision=self._revision(),
            age_s=_rounded(age_s),
            before_s=_rounded(self.progress.before_s),
            waited_s=_rounded(self.progress.waited_s),
            tries=self.progress.notes,
            sends=self.progress.sends,
            events_to=self.progress.last_id,
            first_s=_rounded(self.progress.first_s),
            took_s=_rounded(now - self.req.received_at),
        )

    def _revision(self):
        """Return the revision that decided, also on a refused request."""
        if self.decision is not None:
            return self.decision.revision
        declaration = self.context.catalog.declaration
        return declaration.revision if declaration else None


def _rounded(seconds):
    return None if seconds is None else round(seconds, 4)
