"""Callers: when they ask, how long they wait, when they come back."""

import attrs

from catkinshunt import dispatch

#: Seconds without a first token after which a caller leaves.
PATIENCE_S = 3.2
#: Part of the time that it has left for which a caller waits at most before
#: it comes back.
WAIT_SHARE = 1 / 3
#: Time to the first token that is aimed at, in seconds.
GOALS_S = (0.4, 0.5)


@attrs.frozen
class Load:
    """How many requests come, and of what kind of callers.

    Attributes:
        rate: function of the time that returns requests a second.
        seconds: how long it lasts.
        deadline_s: longest time that callers grant.
        spread: part of it by which a caller's own time may be shorter.
        hasty: share of callers that come back at once, and again and again.
        leaving: share of callers that leave within half a second.
    """

    rate: object
    seconds: float = 20.0
    deadline_s: float = 6.0
    spread: float = 0.15
    hasty: float = 0.0
    leaving: float = 0.0


@attrs.define(eq=False)
class Request:
    """One wish of a caller, over all its tries.

    Attributes:
        born: when it first asked.
        asked_at: when it asked last.
        deadline: when it gives up for good.
        goal_s: time to the first token that is aimed at.
        tries_left: times that it comes back.
        hasty: it does not wait as long as it is told.
        waited_s: seconds that it waited before this try, as its entry sees.
        tried: keys of the upstreams that this try was offered to.
        bids: asks for places that are not settled, by number.
        silent: candidates whose sidecars gave this try no answer.
        held_s: longest time for which a try was held and then refused.
        unread: prompt tokens that are not read yet.
        unwritten: tokens of the answer that are not made yet.
        outcome: how it ended, or '' while it goes on.
    """

    born: float
    deadline: float
    goal_s: float
    tokens_in: int
    tokens_out: int
    tries_left: int
    hasty: bool = False
    leaves_after_s: float = PATIENCE_S
    asked_at: float = 0.0
    entry: object = None
    engine: object = None
    place: object = None
    rank: int = 0
    job: object = None
    unread: int = 0
    unwritten: int = 0
    sent_at: float = 0.0
    first_at: float | None = None
    waited_s: float = 0.0
    tried: set = attrs.field(factory=set)
    bids: dict = attrs.field(factory=dict)
    silent: list = attrs.field(factory=list)
    held_s: float = 0.0
    outcome: str = ''

    @property
    def is_in_time(self):
        """Whether its first token came in time, and the rest too."""
        return (
            self.outcome == 'answered'
            and self.first_at - self.born <= self.goal_s
        )

    def begin(self, now, entry):
        """Ask an entry."""
        self.asked_at = now
        self.entry = entry
        self.engine = None
        self.tried = set()
        self.unread = self.tokens_in
        self.unwritten = self.tokens_out
        self.job = dispatch.Job(self.tokens_in, self.tokens_out)

    def end(self, outcome):
        """End for good."""
        self.outcome = outcome
        self.entry.end(self)


def draw(load, rng):
    """Return the requests of a load, in order of time."""
    now, found = 0.0, []
    while now < load.seconds:
        now += rng.expovariate(load.rate(now))
        grants_s = load.deadline_s * (1 - load.spread * rng.random())
        hasty = rng.random() < load.hasty
        leaves = rng.random() < load.leaving
        found.append(
            Request(
                born=now,
                deadline=now + grants_s,
                goal_s=rng.choice(GOALS_S),
                tokens_in=int(min(3880, rng.lognormvariate(6.4, 1.0))) + 1,
                tokens_out=int(min(250, rng.lognormvariate(4.2, 0.8))) + 1,
                tries_left=4 if hasty else 1,
                hasty=hasty,
                leaves_after_s=0.5 * rng.random() if leaves else PATIENCE_S,
            )
        )
    return found
