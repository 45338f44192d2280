"""Entries: what one of them knows and decides."""

import abc

import attrs

from catkinshunt import dispatch
from catkinshunt import permits

#: Seconds on the way from an entry to an engine or its sidecar, and back.
WAY_S = 0.002
#: Engines that an entry asks for a place before it refuses.
MOST_ASKED = 3
#: Seconds until a silent sidecar counts as such, and until it is asked again
#: at first and at most.
ANSWER_S = 0.16
FIRST_SILENCE_S = 1.0
MOST_SILENCE_S = 8.0
#: Seconds for which a second engine is asked after the first was silent.
SECOND_S = 0.05
#: Seconds for which a request waits at an engine that answers before one
#: with a silent sidecar gets it.
QUEUED_S = 0.05
#: Share of the slots of such an engine that an entry uses.
UNCOUNTED_SHARE = 0.25
#: Such engines that are tried.
MOST_PROVED = 2
#: Seconds after which a caller may come back whom an entry that does not ask
#: for places refused.
RETRY_S = 0.25
#: Seconds for which an engine that rejected a request is left alone.
FULL_PAUSE_S = 0.1
SERVICE = 'model'


@attrs.define(eq=False)
class Bid:
    """An ask at the sidecar of one candidate, and its newest reply."""

    candidate: dispatch.Candidate
    reply: object = None


class BaseEntry(abc.ABC):
    """One entry.

    Args:
        play: the `Play` that it is part of.
        name: unique among the entries.
    """

    def __init__(self, play, name):
        self.play = play
        self.name = name
        self.events = play.events
        self.profile = play.profile
        self.tracker = dispatch.UpstreamTracker()
        self.chooser = dispatch.Chooser('a', {}, name)
        self.returns = dispatch.ClientRetryDetector()

    def come(self, request):
        """Take a request of a caller."""
        now = self.events.now
        left_s = request.deadline - now
        request.waited_s = self.returns.estimate_wait_s(SERVICE, left_s, now)
        self.decide(request)

    def choose(self, request, only=None):
        """Return the best `dispatch.Candidate` not tried yet, or None.

        Args:
            request: the `Request`.
            only: function that tells whether an upstream is meant, or None.
        """
        found = self.chooser.choose(
            filter(only, self.play.listed()) if only else self.play.listed(),
            self.tracker,
            self.profile,
            request.job,
            self.events.now,
            avoid=request.tried,
        )
        if found is not None:
            request.tried.add(found.upstream.key)
        return found

    def send(self, request, candidate, rank):
        """Send a request to an engine; return whether it took it."""
        engine = self.play.engines[candidate.upstream.id]
        request.rank = rank
        request.job.rank = rank
        request.job.predicted_s = candidate.delay_s
        if not engine.take(request):
            return False
        request.engine = engine
        request.sent_at = self.events.now
        candidate.state.begin(request.job, self.events.now)
        return True

    def refuse(self, request, retry_s):
        """Tell the caller when to come back."""
        self.returns.record_rejection(self.events.now)
        request.held_s = max(
            request.held_s, self.events.now - request.asked_at
        )
        self.play.come_back(request, retry_s)

    def end(self, request):
        """Forget a request that has ended."""
        if request.engine is not None:
            request.engine.drop(request)
            state = self.tracker.state(request.engine.upstream)
            state.end(request.job)

    def hear_tokens(self, request):
        """Note that tokens of a request have come."""
        state = self.tracker.state(request.engine.upstream)
        state.receive(self.events.now)

    @abc.abstractmethod
    def decide(self, request):
        """Decide on a request."""

    @abc.abstractmethod
    def hear_first(self, request):
        """Learn that the first token of a request has come."""


class SendingEntry(BaseEntry):
    """Sends each request at once, in the order of what is likely.

    It is how entries worked before sidecars gave out places: the measure for
    these. It knows its own requests, and how busy an engine is at each of its
    first tokens.
    """

    def __init__(self, play, name):
        super().__init__(play, name)
        self.forecast = dispatch.DelayCorrector()

    def decide(self, request):
        """See `BaseEntry.decide`."""
        for _ in range(MOST_ASKED):
            candidate = self.choose(request)
            if candidate is None:
                break
            rank = self.forecast.rank(
                request.waited_s,
                candidate.delay_s,
                request.goal_s,
                self.events.now,
            )
            if self.send(request, candidate, rank):
                return
            candidate.state.pause(self.events.now, FULL_PAUSE_S)
        self.refuse(request, RETRY_S)

    def hear_first(self, request):
        """See `BaseEntry.hear_first`."""
        request.job.reply_started = True
        now = self.events.now
        engine = request.engine
        load = dispatch.Load(
            len(engine.running), len(engine.waiting), self.profile.slots
        )
        self.tracker.state(engine.upstream).report(load, now)
        if request.rank == dispatch.Rank.EARLY:
            self.forecast.observe(
                request.job.predicted_s, now - request.sent_at, now
            )


class AskingEntry(BaseEntry):
    """Asks the sidecars of engines for a place before it sends.

    It lets the request wait at the first one, and asks some others whether
    they have room, as `gateway._seat` does.
    """

    def __init__(self, play, name):
        super().__init__(play, name)
        self._silences = {}

    def decide(self, request):
        """See `BaseEntry.decide`."""
        request.bids = {}
        request.silent = []
        self._ask_next(request)

    def _may_ask(self, upstream):
        until, _ = self._silences.get(upstream.id, (0.0, 0.0))
        return self.events.now >= until

    def _is_silent(self, upstream):
        return not self._may_ask(upstream)

    def _ask_next(self, request):
        candidate = self.choose(request, self._may_ask)
        if candidate is None or len(request.bids) >= MOST_ASKED:
            self._conclude(request)
            return
        held_s = self.events.now - request.asked_at
        wait_s = request.goal_s - request.waited_s - held_s
        wait_s -= dispatch.first_token_s(self.profile, request.job)
        late = wait_s <= 0
        request.rank = dispatch.Rank.LATE if late else dispatch.Rank.EARLY
        ask = permits.PermitRequest(
            number=self.play.next_number(),
            wait_s=max(0.0, wait_s),
            occupancy_s=dispatch.occupancy_s(self.profile, request.job),
            prefill_s=dispatch.prefill_s(self.profile, request.job),
            slots=self.profile.slots,
            no_wait=bool(request.bids),
            late=late,
        )
        request.bids[ask.number] = Bid(candidate)
        candidate.state.pending_permit_requests += 1
        door = self.play.doors[candidate.upstream.id]
        self.events.after(WAY_S, door.request, request, ask)
        patience_s = SECOND_S if request.silent else ANSWER_S
        self.events.after(
            patience_s, self._hear_nothing, request, ask.number, patience_s
        )

    def _hear_nothing(self, request, number, patience_s):
        """Take a sidecar as silent unless it has answered."""
        bid = request.bids.get(number)
        if bid is None or bid.reply is not None:
            return
        del request.bids[number]
        bid.candidate.state.pending_permit_requests -= 1
        name = bid.candidate.upstream.id
        self.play.doors[name].give_back(self, number)
        request.silent.append(bid.candidate)
        if patience_s == ANSWER_S:
            _, before_s = self._silences.get(name, (0.0, 0.0))
            pause_s = min(max(2 * before_s, FIRST_SILENCE_S), MOST_SILENCE_S)
            self._silences[name] = (self.events.now + pause_s, pause_s)
        if len(request.silent) > 1:
            self._conclude(request)
        else:
            self._ask_next(request)

    def _send_unheard(self, request):
        """Send to an engine whose sidecar is silent; return whether it did."""
        silent = request.silent
        while (found := self.choose(request, self._is_silent)) is not None:
            silent.append(found)
            if len(silent) >= MOST_PROVED:
                break
        for candidate in silent:
            most = candidate.upstream.slots * UNCOUNTED_SHARE
            if len(candidate.state.jobs) < max(1, most):
                self._settle(request)
                return self.send(request, candidate, request.rank)
        return False

    def _send_after_wait(self, request, asked_at):
        """Send a request that still waits to an engine that is silent."""
        if request.bids and request.asked_at == asked_at:
            self._send_unheard(request)

    def receive(self, request, door, reply):
        """Take the reply of a sidecar."""
        bid = request.bids.get(reply.number)
        if bid is None:
            # The request has ended or gone elsewhere.
            if isinstance(reply, permits.PermitGranted):
                door.give_back(self, reply.number)
            return
        is_first = bid.reply is None
        self._silences.pop(bid.candidate.upstream.id, None)
        bid.reply = reply
        if isinstance(reply, permits.PermitGranted):
            self._note(bid.candidate, reply.in_use, 0)
            self._settle(request, reply.number)
            request.place = (door, reply.number)
            self.send(request, bid.candidate, request.rank)
            return
        self._note(bid.candidate, self.profile.slots, 1)
        if is_first:
            self._ask_next(request)
        else:
            self._conclude(request)

    def _conclude(self, request):
        """Refuse a request that waits nowhere."""
        replies = [bid.reply for bid in request.bids.values()]
        if any(isinstance(reply, permits.PermitQueued) for reply in replies):
            self.events.after(
                QUEUED_S, self._send_after_wait, request, request.asked_at
            )
            return
        if self._send_unheard(request):
            return
        self._settle(request)
        self.refuse(request, replies[0].retry_after_s if replies else RETRY_S)

    def _settle(self, request, kept=None):
        """Give up all bids but one."""
        for number, bid in request.bids.items():
            bid.candidate.state.pending_permit_requests -= 1
            if number != kept and not isinstance(
                bid.reply, permits.PermitRejected
            ):
                door = self.play.doors[bid.candidate.upstream.id]
                door.give_back(self, number)
        request.bids = {}

    def _note(self, candidate, running, waiting):
        load = dispatch.Load(running, waiting, self.profile.slots)
        candidate.state.report(load, self.events.now)

    def end(self, request):
        """See `BaseEntry.end`."""
        super().end(request)
        self._settle(request)
        if request.place is not None:
            door, number = request.place
            request.place = None
            door.give_back(self, number)

    def hear_first(self, request):
        """See `BaseEntry.hear_first`."""
        request.job.reply_started = True
