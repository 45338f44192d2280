"""Finds an engine with a place for one try of a request."""

import asyncio

import attrs

from catkinshunt import dispatch
from catkinshunt import errors
from catkinshunt import places

#: Engines that are asked for a place. The first one lets the request wait,
#: the others say at once whether they have room: an entry does not know how
#: busy engines are with requests of others. Each further one takes a round
#: trip from the time that is left.
MOST_ASKED = 3
#: Seconds for which another engine is asked after a sidecar was asked in
#: vain. Where all of them are silent what it takes is lost; one that is not
#: has answered by then on most links.
SECOND_S = 0.05
#: Seconds for which a request waits for a place at an engine that answers
#: before one whose sidecar is silent gets it.
QUEUED_S = 0.05
#: Seconds within which an engine whose sidecar gives no answer must accept a
#: connection to get a request; as long as an ask may take. What is sent over
#: a full link cannot be taken back, and comes after its caller has left.
PROVE_S = places.REPLY_TIMEOUT_S * places.MAX_SENDS
#: Such engines that are tried.
MOST_PROVED = 2
#: Share of the slots of an engine that one entry uses where the sidecar gives
#: no answer; the others do the same.
UNCOUNTED_SHARE = 0.25
#: Seconds before a version is due from which on an engine with the one before
#: gets no request where its sidecar gives no answer. Nobody else keeps them
#: from it then, and a full link that keeps the answer holds up the request
#: as well.
UNHEARD_LEAD_S = 1.5
#: Seconds for which a stream that broke off waits for a place elsewhere; its
#: caller leaves after a longer pause.
MOVE_WAIT_S = 0.2
#: Seconds for which an engine that is about to load another version is left
#: alone; it gets work again as soon as its entry shows other versions.
RELOAD_PAUSE_S = 2.5


@attrs.define(eq=False)
class _Bid:
    """An ask at the sidecar of one candidate.

    Attributes:
        is_open: it counts among those that wait for the engine.
    """

    candidate: dispatch.Candidate
    asking: places.PermitHandle
    is_open: bool = True

    def settle(self):
        """Count no longer as one that waits."""
        if self.is_open:
            self.candidate.state.asking -= 1
            self.is_open = False


class SeatFinder:
    """Asks engines for a place until one gives it.

    What it got is held until `close`.

    Args:
        context: `Context` of the gateway.
        selection: the `Selection` of the request.
        progress: the `Progress` of the request.
        waited_s: seconds that the caller has waited; None for a stream that
            broke off and goes on elsewhere.
        goal_s: seconds after which the first token is late.
    """

    def __init__(self, context, selection, progress, waited_s, goal_s):
        self.context = context
        self.selection = selection
        self.progress = progress
        self.waited_s = waited_s
        self.goal_s = goal_s
        self._began = context.clock()
        self._bids = []

    async def find(self, candidate):
        """Return the `dispatch.Candidate` to send the request to.

        Args:
            candidate: the one to ask first.

        Raises:
            places.NoPermitError: there is no place in time.
            places.ReloadingError: all are about to load another version.
        """
        asked, waiting, silent = 0, None, []
        in_vain = False
        while candidate is not None and asked < MOST_ASKED:
            is_responsive = self._may_be_asked(candidate.upstream)
            bid = None
            if is_responsive:
                bid = await self._bid(candidate, asked > 0, in_vain)
            reply = bid.asking.reply if bid is not None else None
            if isinstance(reply, places.PermitGranted):
                return self._settle(candidate, bid)
            if isinstance(reply, places.PermitQueued):
                waiting = bid
            if reply is None:
                in_vain |= is_responsive
                silent.append(candidate)
                if len(silent) >= MOST_PROVED:
                    break
            elif not _is_reloading(reply):
                asked += 1
            candidate = self.selection.find_next(
                self.progress, self._may_be_asked
            )
        if waiting is not None and await self._wait(waiting, QUEUED_S):
            return self._settle(waiting.candidate, waiting)
        found = await self._find_unheard(silent)
        if found is not None:
            return self._settle(found)
        if waiting is not None and await self._wait(waiting):
            return self._settle(waiting.candidate, waiting)
        raise self._refusal()

    async def _wait(self, bid, most_s=None):
        """Return whether a bid gets its place within `most_s` seconds."""
        try:
            async with asyncio.timeout(most_s):
                reply = await bid.asking.final_reply()
        except TimeoutError:
            return False
        return isinstance(reply, places.PermitGranted)

    def _may_be_asked(self, upstream):
        return self.context.permit_client.is_responsive(upstream.address[0])

    def _is_silent(self, upstream):
        return not self._may_be_asked(upstream)

    async def _find_unheard(self, silent):
        """Return a candidate whose sidecar is silent, or None.

        A sidecar that starts is as silent as one behind a full link. The
        engine behind the latter does not accept a connection soon either.

        Args:
            silent: candidates whose sidecars were found silent just now.
        """
        proved = 0
        while proved < MOST_PROVED:
            if silent:
                candidate = silent.pop(0)
            else:
                candidate = self.selection.find_next(
                    self.progress, self._is_silent
                )
            if candidate is None:
                return None
            proved += 1
            if not self._may_go_unheard(candidate):
                continue
            is_proved = await self._prove(candidate)
            # Others may have been sent there meanwhile.
            if is_proved and self._may_go_unheard(candidate):
                return candidate
        return None

    async def _prove(self, candidate):
        """Return whether an engine accepts a connection soon."""
        pool = self.context.pool(candidate.upstream)
        try:
            async with asyncio.timeout(PROVE_S):
                conn = await pool.take(fresh=True)
        except TimeoutError:
            self._note_try(candidate, 'no connection in time')
            return False
        except errors.RefusedError as exc:
            self._note_try(candidate, str(exc))
            candidate.state.back_off(self.context.clock())
            return False
        pool.give_back(conn)
        self._note_try(candidate, 'accepted a connection')
        return True

    def _note_try(self, candidate, text):
        self.progress.notes.append(f'{candidate.upstream.id}: {text}')

    def _may_go_unheard(self, candidate):
        """Return whether an engine whose sidecar is silent gets the request.

        Nobody counts what all entries send there. Past capacity everything
        that is refused elsewhere would go there.
        """
        upstream = candidate.upstream
        if self.selection.is_outdated(upstream, UNHEARD_LEAD_S):
            return False
        most = upstream.slots * UNCOUNTED_SHARE
        return len(candidate.state.jobs) < max(1, most)

    def close(self):
        """Give back what was got."""
        self._settle(None)

    def _settle(self, candidate, kept=None):
        """Give up all bids but one; return the candidate."""
        for bid in self._bids:
            bid.settle()
            if bid is not kept:
                bid.asking.end()
        self._bids = [kept] if kept is not None else []
        return candidate

    async def _bid(self, candidate, no_wait, brief):
        """Return a `_Bid` with its first reply, or None where none comes.

        Args:
            candidate: the one to ask.
            probe: whether it must answer at once.
            brief: whether another one was asked in vain.
        """
        asking = self.context.permit_client.request(
            _host(candidate),
            lambda number: self._ask(number, candidate, no_wait),
        )
        bid = _Bid(candidate, asking)
        self._bids.append(bid)
        candidate.state.asking += 1
        try:
            async with asyncio.timeout(SECOND_S if brief else None):
                await asking.first_reply()
        except TimeoutError:
            pass
        self._note(bid)
        if asking.reply is not None:
            return bid
        # A place granted too late is given back, not kept from others.
        self._bids.remove(bid)
        bid.settle()
        asking.end()
        return None

    def _ask(self, number, candidate, no_wait):
        """Return the `places.PermitRequest` for a candidate."""
        engine = self.selection.engine()
        job = self.selection.make_job()
        resumed = self.waited_s is None
        if resumed:
            wait_s = MOVE_WAIT_S
        else:
            held_s = self.context.clock() - self._began
            wait_s = self.goal_s - self.waited_s - held_s
            wait_s -= dispatch.first_token_s(engine, job)
        return places.PermitRequest(
            number=number,
            wait_s=round(max(0.0, wait_s), 3),
            occupancy_s=round(dispatch.occupancy_s(engine, job), 3),
            prefill_s=round(dispatch.prefill_s(engine, job), 4),
            slots=candidate.upstream.slots,
            no_wait=no_wait,
            late=wait_s <= 0,
            resumed=resumed,
        )

    def _note(self, bid):
        """Take over what the reply tells of an engine."""
        reply = bid.asking.reply
        upstream, state = bid.candidate.upstream, bid.candidate.state
        self.progress.notes.append(_describe(reply, upstream))
        if reply is None:
            return
        if _is_reloading(reply):
            self.progress.reloading.add(upstream.key)
            now = self.context.clock()
            state.rest(now, RELOAD_PAUSE_S, upstream.versions)
            return
        slots = upstream.slots
        if isinstance(reply, places.PermitGranted):
            load = dispatch.Load(reply.in_use, 0, slots)
        else:
            load = dispatch.Load(slots, 1, slots)
        state.report(load, self.context.clock())

    def _refusal(self):
        """Return the error for a request that no engine takes."""
        refused = [
            bid.asking.reply
            for bid in self._bids
            if isinstance(bid.asking.reply, places.PermitRejected)
        ]
        full = [reply for reply in refused if not _is_reloading(reply)]
        if refused and not full:
            return places.ReloadingError(
                'all engines are about to load', step='take-place'
            )
        return places.NoPermitError(
            f'no engine has room, {len(full)} said so',
            step='take-place',
            peer=', '.join(_host(bid.candidate) for bid in self._bids),
            retry_after_s=full[0].retry_after_s if full else None,
        )


def _host(candidate):
    return candidate.upstream.address[0]


def _is_reloading(reply):
    refused = isinstance(reply, places.PermitRejected)
    return refused and reply.reason == places.RELOADING


def _describe(reply, upstream):
    """Return a note for the log."""
    if reply is None:
        return f'{upstream.id}: its sidecar gave no answer'
    if isinstance(reply, places.PermitRejected):
        return f'{upstream.id}: refused, {reply.reason}'
    return f'{upstream.id}: {reply.kind}'
