"""Decides who gets a place at one engine."""

import math

import attrs

from catkinshunt import base
from catkinshunt import checks
from catkinshunt.places import _messages

#: Places beyond the slots of the engine. One request waits in the engine, so
#: that a slot that becomes free between two passes is filled at once; more
#: would wait there for longer than that gains.
SPARE = 1
#: Shortest and longest time after which a caller is told to come back, in
#: seconds. It is late by then in any case, and where the engines are full a
#: shorter one brings it back before anything has changed. Where callers grant
#: times that differ by a second, it is told from new ones only so.
LEAST_RETRY_S = 1.0
MOST_RETRY_S = 5.0
#: Seconds for which late requests may wait for a place that nobody else
#: wants. As many may wait as got one in that time lately.
LATE_MAX_WAIT_S = 0.5
#: Seconds in which the count of late requests that got a place falls to
#: 1/e, and the least rate that is assumed, per second.
LATE_MEMORY_S = 1.0
LEAST_LATE_RATE = 0.5
#: Seconds after an ask in time found no room for which late ones get none
#: either. The next one in time comes soon, and the place is worth more to it.
SHORT_S = 0.5
#: Seconds of reading that an engine may have ahead and still get a request
#: that is to be in time: prompts are read one after the other, and the answer
#: of each begins when all that came before are read.
MOST_READING_S = 0.05
#: Seconds after a grant in which its request may still be on the way.
ARRIVING_S = 0.3
#: Seconds after which a closed engine that should serve again gets requests
#: all the same; its own word was lost or it gave up loading.
REOPEN_S = 3.0
#: Words for why an ask is refused.
NO_ROOM = 'no-room'
RELOADING = 'reloading'


@attrs.define
class _Waiting:
    """An ask that waits for a place until `until`."""

    request: _messages.PermitRequest
    until: float


class PermitAllocator(base.ParamsMixin):
    """Gives out the places at one engine, and knows who holds them.

    Entries each see a part of what an engine has to do. In a burst past what
    the engines can do all of them sent more than there was room for; requests
    waited for seconds in the engine's queue, were late when they began, and
    kept those out that could have been in time. Here each request waits at
    its entry until the engine has room, the newest first: the ones that have
    waited longest are those that will miss their goal.

    Args:
        spare: places beyond the slots of the engine.

    Examples:
        >>> ledger = PermitAllocator(spare=0)
        >>> request = _messages.PermitRequest(1, 0.2, occupancy_s=1.0, prefill_s=0.05, slots=1)
        >>> ledger.request('a', request, now=0.0)
        [('a', Granted(number=1, held=1))]
        >>> ledger.request('b', request, now=0.1)
        [('b', Queued(number=1))]
        >>> ledger.release('a', 1, now=0.2)
        [('b', Granted(number=1, held=1))]
    """

    def __init__(self, spare=SPARE):
        self.spare = spare
        self._slots = None
        self._held = {}
        self._queue = {}
        self._late = {}
        self._foreign = 0
        self._excess = 0
        self._late_count = 0.0
        self._late_at = 0.0
        self._promised_at = 0.0
        self._read_at = 0.0
        self._short_until = -math.inf
        self._closes_at = math.inf
        self._opens_at = math.inf
        self._expires_at = math.inf

    @property
    def in_use(self):
        """Number of places that are taken."""
        return len(self._held) + self._foreign

    @property
    def waiting(self):
        """Number of asks that wait."""
        return len(self._queue) + len(self._late)

    def request(self, peer, request, now):
        """Decide on an ask; return replies as pairs of peer and message.

        Args:
            peer: names the entry; any value that can be hashed.
            ask: `PermitRequest`. Asked again, it gets the same reply again.
            now: seconds on the steady clock.
        """
        checks.check_count(self.spare, 'spare')
        self._slots = request.slots
        if not request.late and self._room() <= 0:
            self._short_until = now + SHORT_S
        key = (peer, request.number)
        if key in self._held:
            return [
                (peer, _messages.PermitGranted(request.number, self.in_use))
            ]
        if key in self._queue or key in self._late:
            return [(peer, _messages.PermitQueued(request.number))]
        if self._is_too_long(request, now):
            return [self._refuse(key, RELOADING, now)]
        if self._may_begin(request, now) and not self._goes_behind(request):
            return [self._grant(key, request, now)]
        return [self._put(key, request, now)]

    def release(self, peer, number, now):
        """Take a place back; return replies to those who get it."""
        key = (peer, number)
        self._held.pop(key, None)
        self._queue.pop(key, None)
        self._late.pop(key, None)
        return self._give(now)

    def _expire(self, now):
        """Refuse asks that have waited for too long; return the replies."""
        replies = []
        for line in (self._queue, self._late):
            for key, waiting in list(line.items()):
                if waiting.until <= now:
                    del line[key]
                    replies.append(self._refuse(key, NO_ROOM, now))
        return replies

    def next_due_at(self):
        """Return when `run_due` has something to do next, or None."""
        lines = (*self._queue.values(), *self._late.values())
        times = [waiting.until for waiting in lines]
        key = self._next()
        if key is not None and self._room() > 0:
            opens_at = self._reads_soon_at()
            if key in self._late:
                opens_at = max(opens_at, self._short_until)
            times.append(opens_at)
        return min(times, default=None)

    def run_due(self, now):
        """Do what is due by now; return replies."""
        return [*self._expire(now), *self._give(now)]

    def reconcile(self, present, now):
        """Put the count right by what the engine has; return replies.

        An entry that dies gives nothing back, one that cannot reach this
        process sends without asking, and datagrams are lost. Places whose
        request the engine does not have at two looks in a row are free.

        Args:
            present: requests that the engine has, running and waiting.
            now: seconds on the steady clock.
        """
        arrived = [
            key
            for key, since in self._held.items()
            if now - since > ARRIVING_S
        ]
        excess = len(arrived) - present
        lost = min(excess, self._excess)
        for key in arrived[: max(0, lost)]:
            del self._held[key]
        self._excess = max(0, excess - max(0, lost))
        self._foreign = max(0, present - len(self._held))
        return self._give(now)

    # Loading another version.

    def close(self, closes_at, opens_at):
        """Give no place to a request that would hold it past `closes_at`.

        The engine loads another version then. It ends its answers first and
        takes nothing new meanwhile, so an answer that has hardly begun by
        then keeps it from work for seconds.

        Args:
            closes_at: when the engine is to be empty, in seconds.
            opens_at: when it is likely to serve again.
        """
        self._closes_at = closes_at
        self._opens_at = opens_at

    def open(self, now):
        """Give places again; return replies."""
        self._closes_at = math.inf
        self._opens_at = math.inf
        return self._give(now)

    def set_expiry(self, expires_at):
        """Give no place to a request that would begin after `expires_at`.

        What the engine serves is too old from then on. Its sidecar hears of
        a new version at once, an entry that reads a large configuration over
        a busy link much later.

        Args:
            expires_at: in seconds on the steady clock; infinite for never.
        """
        self._expires_at = expires_at

    # Parts of a decision.

    def _room(self):
        return self._slots + self.spare - self.in_use

    def _is_too_long(self, request, now):
        """Return whether an answer would last into the loading.

        Or begin after what the engine serves has expired.
        """
        if now + request.prefill_s >= self._expires_at:
            return True
        if now > self._opens_at + REOPEN_S:
            return False
        return now + request.occupancy_s > self._closes_at

    def _reads_soon_at(self):
        """Return when the engine has read most of what it was given."""
        return self._read_at - MOST_READING_S

    def _may_begin(self, request, now):
        """Return whether the engine has room, and time to read it."""
        if self._room() <= 0:
            return False
        if request.late and now < self._short_until:
            return False
        return request.resumed or now >= self._reads_soon_at()

    def _goes_behind(self, request):
        """Return whether others that wait go before this ask."""
        if request.resumed:
            return False
        return bool(self._queue) or (request.late and bool(self._late))

    def _put(self, key, request, now):
        """Let an ask wait where that makes sense; return the reply."""
        if request.no_wait:
            refused = _messages.PermitRejected(
                request.number, NO_ROOM, LEAST_RETRY_S
            )
            return key[0], refused
        if request.late:
            if len(self._late) + 1 > self._late_rate(now) * LATE_MAX_WAIT_S:
                return self._refuse(key, NO_ROOM, now)
            self._late[key] = _Waiting(request, now + LATE_MAX_WAIT_S)
        elif request.wait_s > 0:
            self._queue[key] = _Waiting(request, now + request.wait_s)
        else:
            return self._refuse(key, NO_ROOM, now)
        return key[0], _messages.PermitQueued(request.number)

    def _give(self, now):
        """Grant free places to those who wait; return the replies."""
        replies = []
        while (key := self._next()) is not None:
            line = self._queue if key in self._queue else self._late
            request = line[key].request
            if not self._may_begin(request, now):
                break
            del line[key]
            if self._is_too_long(request, now):
                replies.append(self._refuse(key, RELOADING, now))
            else:
                replies.append(self._grant(key, request, now))
        return replies

    def _next(self):
        """Return the key of the ask that goes next, or None."""
        for key, waiting in reversed(self._queue.items()):
            if waiting.request.resumed:
                return key
        if self._queue:
            return next(reversed(self._queue))
        return next(iter(self._late), None)

    def _grant(self, key, request, now):
        self._held[key] = now
        self._read_at = max(self._read_at, now) + request.prefill_s
        if request.late:
            self._late_count = self._late_rate(now) * LATE_MEMORY_S + 1
            self._late_at = now
        peer, number = key
        return peer, _messages.PermitGranted(number, self.in_use)

    def _refuse(self, key, reason, now):
        peer, number = key
        retry_s = self._retry_s(reason, now)
        return peer, _messages.PermitRejected(
            number, reason, round(retry_s, 3)
        )

    def _retry_s(self, reason, now):
        """Return after how long a caller that is refused may come back.

        Callers come back one after the other, as fast as late ones got a
        place lately. All told the same would come back together into
        engines that are still full.
        """
        if reason == RELOADING:
            return min(max(self._opens_at - now, LEAST_RETRY_S), MOST_RETRY_S)
        apart_s = 1 / self._late_rate(now)
        begin = max(self._promised_at, now + LEAST_RETRY_S)
        self._promised_at = min(begin + apart_s, now + MOST_RETRY_S)
        return self._promised_at - now

    def _late_rate(self, now):
        """Return how many late requests a second got a place lately."""
        age_s = max(0.0, now - self._late_at)
        count = self._late_count * math.exp(-age_s / LATE_MEMORY_S)
        return max(LEAST_LATE_RATE, count / LATE_MEMORY_S)
