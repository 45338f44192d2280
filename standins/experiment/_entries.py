"""Entries: what one of them knows and decides."""

import abc

import attrs

from catkinshunt import dispatch
from catkinshunt import places

#: Seconds on the way from an entry to an engine or its sidecar, and back.
WAY_S = 0.002
#: Engines that an entry asks for a place before it refuses.
MOST_ASKED = 3
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
        self.tracker = dispatch.Tracker()
        self.chooser = dispatch.Chooser('a', {}, name)
        self.returns = dispatch.ReturnDetector()

    def come(self, request):
        """Take a request of a caller."""
        now = self.events.now
        left_s = request.deadline - now
        request.waited_s = self.returns.waited_s(SERVICE, left_s, now)
        self.decide(request)

    def choose(self, request):
        """Return the best `dispatch.Candidate` not tried yet, or None."""
        found = self.chooser.choose(
            self.play.listed(),
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
        request.job.likely_s = candidate.delay_s
        if not engine.take(request):
            return False
        request.engine = engine
        request.sent_at = self.events.now
        candidate.state.begin(request.job, self.events.now)
        return True

    def refuse(self, request, retry_s):
        """Tell the caller when to come back."""
        self.returns.note_refusal(self.events.now)
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
        self.forecast = dispatch.Forecast()

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
            candidate.state.rest(self.events.now, FULL_PAUSE_S)
        self.refuse(request, RETRY_S)

    def hear_first(self, request):
        """See `BaseEntry.hear_first`."""
        request.job.answering = True
        now = self.events.now
        engine = request.engine
        load = dispatch.Load(
            len(engine.running), len(engine.waiting), self.profile.slots
        )
        self.tracker.state(engine.upstream).report(load, now)
        if request.rank == dispatch.Rank.EARLY:
            self.forecast.learn(
                request.job.likely_s, now - request.sent_at, now
            )


class AskingEntry(BaseEntry):
    """Asks the sidecars of engines for a place before it sends.

    It lets the request wait at the first one, and asks some others whether
    they have room, as `gateway._seat` does.
    """

    def decide(self, request):
        """See `BaseEntry.decide`."""
        request.bids = {}
        self._ask_next(request)

    def _ask_next(self, request):
        candidate = self.choose(request)
        if candidate is None or len(request.bids) >= MOST_ASKED:
            self._conclude(request)
            return
        held_s = self.events.now - request.asked_at
        wait_s = request.goal_s - request.waited_s - held_s
        wait_s -= dispatch.first_token_s(self.profile, request.job)
        late = wait_s <= 0
        request.rank = dispatch.Rank.LATE if late else dispatch.Rank.EARLY
        ask = places.Ask(
            number=self.play.next_number(),
            wait_s=max(0.0, wait_s),
            lasts_s=dispatch.lasts_s(self.profile, request.job),
            read_s=dispatch.read_s(self.profile, request.job),
            slots=self.profile.slots,
            probe=bool(request.bids),
            late=late,
        )
        request.bids[ask.number] = Bid(candidate)
        candidate.state.asking += 1
        door = self.play.doors[candidate.upstream.id]
        self.events.after(WAY_S, door.ask, request, ask)

    def hear(self, request, door, reply):
        """Take the reply of a sidecar."""
        bid = request.bids.get(reply.number)
        if bid is None:
            # The request has ended or gone elsewhere.
            if isinstance(reply, places.Granted):
                door.give_back(self, reply.number)
            return
        is_first = bid.reply is None
        bid.reply = reply
        if isinstance(reply, places.Granted):
            self._note(bid.candidate, reply.held, 0)
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
        if any(isinstance(reply, places.Queued) for reply in replies):
            return
        self._settle(request)
        self.refuse(request, replies[0].retry_s if replies else RETRY_S)

    def _settle(self, request, kept=None):
        """Give up all bids but one."""
        for number, bid in request.bids.items():
            bid.candidate.state.asking -= 1
            if number != kept and not isinstance(bid.reply, places.Refused):
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
        request.job.answering = True
