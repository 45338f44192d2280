"""Finds an engine with a permit for one attempt of a request.

Error steps and rejection reasons use older words: `take-place` is the step
of getting a permit, `no-room` means that none is free.
"""

import asyncio

import attrs

from catkinshunt import dispatch
from catkinshunt import errors
from catkinshunt import permits

#: Most sidecars that answer a permit request. There are several because an
#: entry cannot measure the load of other entries on an engine. Only the
#: first one may queue the request; the others grant or reject it at once. Each
#: one costs a round trip. Sidecars that do not answer, or whose engine is
#: leaving or about to load another version, are not counted.
MAX_SIDECARS = 3
#: Reply timeout in seconds after a sidecar did not answer. It bounds the delay
#: if no sidecar answers; on most links a running one has answered by then.
NEXT_REPLY_TIMEOUT_S = 0.05
#: Seconds to wait for a queued permit before an engine with an unresponsive
#: sidecar is used.
QUEUED_PREFERENCE_S = 0.05
#: Seconds within which an engine with an unresponsive sidecar must accept a
#: connection to get a request; as long as a permit request may take. A request
#: sent over a saturated link cannot be cancelled, and arrives after its client
#: has left.
PROBE_TIMEOUT_S = permits.REPLY_TIMEOUT_S * permits.MAX_SENDS
#: Most such engines that are probed. After as many candidates without a reply,
#: no further permits are requested.
MAX_PROBES = 2
#: While a sidecar is unresponsive, a request is sent to its engine without a
#: permit only if all requests of this entry there, with or without permits,
#: use less than this share of its slots. Other entries do the same.
NO_PERMIT_SLOT_SHARE = 0.25
#: Without its sidecar, an engine is treated as outdated this many seconds
#: before a newer version is due. A saturated link that delays the replies of
#: the sidecar delays requests too, and no sidecar rejects those that arrive
#: after that time.
NO_PERMIT_VERSION_LEAD_S = 1.5
#: Seconds for which an interrupted stream waits for a permit elsewhere; after
#: a longer pause the client disconnects.
FAILOVER_WAIT_S = 0.2
#: Pause in seconds of an engine that is about to load another version, as
#: `LOADING_PAUSE_S` in `_relay`. It ends early when the engine lists other
#: versions.
RELOAD_PAUSE_S = 2.5
#: Pause in seconds of an engine whose sidecar says that another start of it
#: leaves.
LEAVING_PAUSE_S = 0.5


@attrs.define(eq=False)
class _PendingPermitRequest:
    """A permit request at the sidecar of one candidate.

    Attributes:
        is_counted: it is counted as pending in the state of the upstream.
    """

    candidate: dispatch.Candidate
    handle: permits.PermitHandle
    is_counted: bool = True

    def uncount(self):
        """Stop counting it as pending."""
        if self.is_counted:
            self.candidate.state.pending_permit_requests -= 1
            self.is_counted = False


class PermitSearch:
    """Requests permits from sidecars until one is granted.

    The permit is held until `close`.

    Args:
        context: `Context` of the gateway.
        selection: the `Selection` of the request.
        progress: the `Progress` of the request.
        client_wait_s: seconds that the client has waited; None for a stream
            that is resumed elsewhere.
        goal_s: target for the time to the first token, in seconds.
        isolated: whether the request has to run apart from others that are
            suspected of crashing engines.
    """

    def __init__(
        self, context, selection, progress, client_wait_s, goal_s, isolated
    ):
        self.context = context
        self.selection = selection
        self.progress = progress
        self.client_wait_s = client_wait_s
        self.goal_s = goal_s
        self.isolated = isolated
        self._began = context.clock()
        self._boottime_began = context.boot_clock()
        self._pending = []

    async def find(self, candidate):
        """Return the `dispatch.Candidate` to send the request to.

        The first sidecar that grants a permit decides. Otherwise a permit
        that is granted soon from the queue is preferred to an engine with an
        unresponsive sidecar, and such an engine to a longer wait.

        Args:
            candidate: the first one to request a permit for.

        Raises:
            permits.NoPermitError: no permit was granted in time.
            permits.ReloadingError: all sidecars that rejected the request
                state that their engine leaves or is about to load another
                version.
        """
        answered, queued, unresponsive = 0, None, []
        any_unanswered = False
        while candidate is not None and answered < MAX_SIDECARS:
            responsive = self._is_responsive(candidate.upstream)
            pending = None
            if responsive:
                pending = await self._request_permit(
                    candidate, answered > 0, any_unanswered
                )
            reply = pending.handle.reply if pending is not None else None
            if isinstance(reply, permits.PermitGranted):
                return self._keep_only(candidate, pending)
            if isinstance(reply, permits.PermitQueued):
                queued = pending
            if reply is None:
                any_unanswered |= responsive
                unresponsive.append(candidate)
                if len(unresponsive) >= MAX_PROBES:
                    break
            elif not _is_closed(reply):
                answered += 1
            candidate = self.selection.take_next(
                self.progress, self._is_responsive
            )
        if queued is not None and await self._wait_for_grant(
            queued, QUEUED_PREFERENCE_S
        ):
            return self._keep_only(queued.candidate, queued)
        found = await self._find_without_permit(unresponsive)
        if found is not None:
            return self._keep_only(found)
        # The sidecar decides within the wait that was requested.
        if queued is not None and await self._wait_for_grant(queued):
            return self._keep_only(queued.candidate, queued)
        raise self._rejection()

    async def _wait_for_grant(self, pending, timeout_s=None):
        """Return whether a queued permit is granted within `timeout_s` s."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await pending.handle.await_decision()
        except TimeoutError:
            return False
        return isinstance(reply, permits.PermitGranted)

    def _is_responsive(self, upstream):
        return self.context.permit_client.is_responsive(upstream.address[0])

    def _is_unresponsive(self, upstream):
        return not self._is_responsive(upstream)

    async def _find_without_permit(self, unresponsive):
        """Return a candidate with an unresponsive sidecar, or None.

        A sidecar may be starting, or be behind a saturated link. In the
        latter case the engine does not accept a connection soon either.

        Args:
            unresponsive: candidates whose sidecars just did not answer.
        """
        probed = 0
        while probed < MAX_PROBES:
            if unresponsive:
                candidate = unresponsive.pop(0)
            else:
                candidate = self.selection.take_next(
                    self.progress, self._is_unresponsive
                )
            if candidate is None:
                return None
            probed += 1
            if not self._may_send_without_permit(candidate):
                continue
            accepts = await self._accepts_connection(candidate)
            # Other requests may have been sent there during the probe.
            if accepts and self._may_send_without_permit(candidate):
                return candidate
        return None

    async def _accepts_connection(self, candidate):
        """Return whether an engine accepts a connection in time."""
        pool = self.context.pool(candidate.upstream)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                conn = await pool.acquire(fresh=True)
        except TimeoutError:
            self._add_note(candidate, 'connect timed out')
            return False
        except errors.RefusedError as exc:
            self._add_note(candidate, str(exc))
            candidate.state.record_refused_connection(self.context.clock())
            return False
        pool.release(conn)
        self._add_note(candidate, 'accepted a connection')
        return True

    def _add_note(self, candidate, text):
        self.progress.notes.append(f'{candidate.upstream.id}: {text}')

    def _may_send_without_permit(self, candidate):
        """Return whether to use an engine with an unresponsive sidecar.

        No sidecar counts the requests of all entries there. Without a limit,
        an overload would send it everything that others reject.
        """
        upstream = candidate.upstream
        if not self.selection.is_available(upstream):
            return False
        if self.selection.is_outdated(upstream, NO_PERMIT_VERSION_LEAD_S):
            return False
        max_jobs = upstream.slots * NO_PERMIT_SLOT_SHARE
        return len(candidate.state.jobs) < max(1, max_jobs)

    def choose_without_permit(self, preferred):
        """Return a candidate that may be used without a permit, or None.

        An engine that leaves or is about to load another version, as its
        sidecar states, is not used.

        Args:
            preferred: the candidate that is returned if possible.
        """
        closed = [
            pending.candidate.upstream.key
            for pending in self._pending
            if _is_closed(pending.handle.reply)
        ]
        asked = [pending.candidate for pending in self._pending]
        return next(
            (c for c in (preferred, *asked) if c.upstream.key not in closed),
            None,
        )

    def close(self):
        """Release the permit and withdraw all requests for one."""
        self._keep_only(None)

    def _keep_only(self, candidate, kept=None):
        """End all permit requests but one; return the candidate."""
        for pending in self._pending:
            pending.uncount()
            if pending is not kept:
                pending.handle.end()
        self._pending = [kept] if kept is not None else []
        return candidate

    async def _request_permit(self, candidate, no_wait, short_timeout):
        """Return a `_PendingPermitRequest` with its first reply, or None.

        Args:
            candidate: the one to request a permit for.
            no_wait: whether the sidecar must reject instead of queueing.
            short_timeout: whether to use the shorter reply timeout.
        """
        handle = self.context.permit_client.make_handle(
            _host(candidate),
            lambda number: self._make_request(number, candidate, no_wait),
        )
        pending = _PendingPermitRequest(candidate, handle)
        self._pending.append(pending)
        candidate.state.pending_permit_requests += 1
        try:
            async with asyncio.timeout(
                NEXT_REPLY_TIMEOUT_S if short_timeout else None
            ):
                await handle.send_and_wait()
        except TimeoutError:
            pass
        self._record_reply(pending)
        if handle.reply is not None:
            return pending
        # A permit granted after the timeout is released for other requests.
        self._pending.remove(pending)
        pending.uncount()
        handle.end()
        return None

    def _make_request(self, number, candidate, no_wait):
        """Return the `permits.PermitRequest` for a candidate."""
        engine = self.selection.engine_profile()
        job = self.selection.make_job()
        resumed = self.client_wait_s is None
        if resumed:
            wait_s = FAILOVER_WAIT_S
        else:
            elapsed_s = self.context.clock() - self._began
            wait_s = self.goal_s - self.client_wait_s - elapsed_s
            wait_s -= dispatch.first_token_s(engine, job)
        kind = (
            permits.IsolatedPermitRequest
            if self.isolated
            else permits.PermitRequest
        )
        return kind(
            number=number,
            wait_s=round(max(0.0, wait_s), 3),
            occupancy_s=round(dispatch.occupancy_s(engine, job), 3),
            prefill_s=round(dispatch.prefill_s(engine, job), 4),
            slots=candidate.upstream.slots,
            no_wait=no_wait,
            # Misses the target for the first token, not the deadline.
            late=wait_s <= 0,
            resumed=resumed,
        )

    def _record_reply(self, pending):
        """Update the state of the upstream from a sidecar's reply."""
        reply = pending.handle.reply
        upstream, state = pending.candidate.upstream, pending.candidate.state
        self.progress.notes.append(_describe(reply, upstream))
        if reply is None:
            return
        if isinstance(reply, permits.EngineLeaving):
            self._record_leave(upstream, state, reply)
            return
        if _is_reloading(reply):
            self.progress.reloading.add(upstream.key)
            now = self.context.clock()
            state.pause(now, RELOAD_PAUSE_S, upstream.versions)
            return
        slots = upstream.slots
        if isinstance(reply, permits.PermitGranted):
            load = dispatch.Load(reply.in_use, 0, slots)
        else:
            # Rejected or queued: recorded as full, with one request queued.
            load = dispatch.Load(slots, 1, slots)
        state.report(load, self.context.clock())

    def _record_leave(self, upstream, state, reply):
        if reply.started_at_ms == upstream.started_at_ms:
            # A reply may be read late, but this start of the engine was
            # already running when the search began.
            self.context.record_leave(upstream.key, self._boottime_began)
        else:
            # The sidecar or this entry does not know of a new start yet.
            state.pause(self.context.clock(), LEAVING_PAUSE_S)

    def _rejection(self):
        """Return the error for a request that got no permit."""
        replies = [pending.handle.reply for pending in self._pending]
        closed = [reply for reply in replies if _is_closed(reply)]
        full = [
            reply
            for reply in replies
            if isinstance(reply, permits.PermitRejected)
            and not _is_reloading(reply)
        ]
        if closed and not full:
            return permits.ReloadingError(
                'all engines whose sidecars rejected the request leave or are'
                ' about to load another version',
                step='take-place',
            )
        return permits.NoPermitError(
            f'no permit was granted ({len(full)} sidecars had none free)',
            step='take-place',
            peer=', '.join(
                _host(pending.candidate) for pending in self._pending
            ),
            retry_after_s=full[0].retry_after_s if full else None,
        )


def _host(candidate):
    return candidate.upstream.address[0]


def _is_reloading(reply):
    rejected = isinstance(reply, permits.PermitRejected)
    return rejected and reply.reason == permits.RELOADING


def _is_closed(reply):
    """Return whether an engine takes no requests, whatever its load."""
    return isinstance(reply, permits.EngineLeaving) or _is_reloading(reply)


def _describe(reply, upstream):
    """Return a log note on a reply."""
    if reply is None:
        return f'{upstream.id}: sidecar unresponsive'
    if isinstance(reply, permits.PermitRejected):
        return f'{upstream.id}: rejected, {reply.reason}'
    return f'{upstream.id}: {reply.kind}'
