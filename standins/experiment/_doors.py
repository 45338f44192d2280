"""The sidecar of one engine, as far as it gives out places."""

from standins.experiment import _entries

#: Seconds between two looks at the engine.
LOOK_S = 0.25


class Door:
    """Gives out the places at one engine.

    Args:
        events: `Events`.
        engine: `Engine`.
        ledger: `permits.PermitAllocator`.

    Attributes:
        is_unresponsive: it gives no answers, as while it starts.
    """

    def __init__(self, events, engine, ledger):
        self.events = events
        self.engine = engine
        self.ledger = ledger
        self._requests = {}
        self._steps_at = None
        self.is_unresponsive = False
        events.after(LOOK_S, self._look)

    def request(self, request, ask):
        """Take an ask of an entry."""
        if self.is_unresponsive:
            return
        key = (request.entry.name, ask.number)
        self._requests[key] = request
        self._tell(self.ledger.request(key[0], ask, self.events.now))

    def give_back(self, entry, number):
        """Take a place back from an entry, after the way to here."""
        self.events.after(_entries.WAY_S, self._done, entry.name, number)

    def start_again(self, ledger):
        """Answer again, knowing nothing of before."""
        self.ledger = ledger
        self._requests = {}
        self.is_unresponsive = False

    def _done(self, peer, number):
        self._requests.pop((peer, number), None)
        self._tell(self.ledger.release(peer, number, self.events.now))

    def _step(self, when):
        if self._steps_at == when:
            self._steps_at = None
            self._tell(self.ledger.run_due(self.events.now))

    def _look(self):
        present = self.engine.present
        self._tell(self.ledger.reconcile(present, self.events.now))
        self.events.after(LOOK_S, self._look)

    def _tell(self, replies):
        if self.is_unresponsive:
            return
        for peer, reply in replies:
            request = self._requests.get((peer, reply.number))
            if request is not None:
                self.events.after(
                    _entries.WAY_S, request.entry.receive, request, self, reply
                )
        when = self.ledger.next_due_at()
        if when is not None and when != self._steps_at:
            self._steps_at = when
            self.events.at(when, self._step, when)
