"""Model engines that work in passes."""

from catkinshunt import catalog as catalogs

#: The engines of the users' deployments: a pass makes five tokens for each
#: of up to 16 answers, and reads the prompts of those that just began.
PROFILE = catalogs.EngineProfile(
    slots=16,
    step_s=0.0093,
    step_s_per_request=0.00003,
    prefill_tokens_per_s=20700.0,
    steps_per_pass=5,
    mean_prompt_tokens=979,
    mean_output_tokens=92,
)
#: Prompt tokens that are read in a step at most.
READ_PER_STEP = 2048
#: Requests that wait in an engine at most; more are rejected.
MOST_WAITING = 32
#: Seconds after which a dark engine is looked at again.
DARK_LOOK_S = 0.1


class Engine:
    """One engine.

    Args:
        events: `Events`.
        upstream: the `catalog.Upstream` that stands for it.
        profile: the `catalog.EngineProfile` that it works by.

    Attributes:
        slowness: 1 for an engine that works as its profile says.
        dark: it does nothing and says nothing.
        lost: it is gone.
    """

    def __init__(self, events, upstream, profile=PROFILE):
        self.events = events
        self.upstream = upstream
        self.profile = profile
        self.slowness = 1.0
        self.dark = False
        self.lost = False
        self.running = []
        self.waiting = []
        self._works = False

    @property
    def present(self):
        """Requests that it has."""
        return len(self.running) + len(self.waiting)

    def take(self, request):
        """Take a request, or return False where the queue is full."""
        if self.lost or len(self.waiting) >= MOST_WAITING:
            return False
        at = len(self.waiting)
        while at and self.waiting[at - 1].rank > request.rank:
            at -= 1
        self.waiting.insert(at, request)
        if not self._works:
            self._works = True
            self.events.after(0.0, self._begin_pass)
        return True

    def drop(self, request):
        """Forget a request whose caller has left."""
        for queue in (self.running, self.waiting):
            if request in queue:
                queue.remove(request)

    def _begin_pass(self):
        if self.dark:
            self.events.after(DARK_LOOK_S, self._begin_pass)
            return
        while self.waiting and len(self.running) < self.profile.slots:
            self.running.append(self.waiting.pop(0))
        if not self.running:
            self._works = False
            return
        read = self._read()
        writers = [r for r in self.running if not r.unread]
        profile = self.profile
        pass_s = read / profile.prefill_tokens_per_s
        if writers:
            step_s = profile.step_s + profile.step_s_per_request * len(writers)
            pass_s += profile.steps_per_pass * step_s
        self.events.after(pass_s * self.slowness, self._end_pass, writers)

    def _read(self):
        """Read prompts in order; return the tokens read."""
        most = left = READ_PER_STEP * self.profile.steps_per_pass
        for request in self.running:
            read = min(left, request.unread)
            request.unread -= read
            left -= read
        return most - left

    def _end_pass(self, writers):
        for request in writers:
            if request in self.running:
                self._write(request)
        self._begin_pass()

    def _write(self, request):
        request.entry.hear_tokens(request)
        if request.first_at is None:
            request.first_at = self.events.now
            request.entry.hear_first(request)
        request.unwritten -= self.profile.steps_per_pass
        if request.unwritten <= 0:
            self.running.remove(request)
            request.end('answered')
