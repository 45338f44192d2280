"""Routing policies over the same arrivals, from idle to burst.

Virtual time: the entries' routers are the real ones, the upstreams are small
fakes with one prefill lane, a batch of decoding requests, a cache of a few
prompt prefixes and a load figure that is sampled and so lags.
"""

import collections
import heapq
import itertools
import random

import attrs

from benchmarks import report
from catkinshunt import routing

MISS_S = 0.30
HIT_S = 0.03
TOKEN_S = 0.010
MEAN_TOKENS = 100
BATCH = 16
CACHED_PREFIXES = 8
REPORT_EVERY_S = 0.5
IDLE_S, BURST_S = 20.0, 20.0
IDLE_RATE = 0.2
#: Upstreams, entries and requests a second for each upstream in the burst.
PLACES = ((5, 3, 5.0), (32, 8, 2.5), (32, 8, 5.0), (32, 8, 7.0))
#: Most that the chosen policy may have of the baseline's time to first token.
MOST_FIRST_P99 = 0.6
#: The same of the whole time, by rate: with room, decoding sets it.
MOST_P99 = {2.5: 1.1, 5.0: 0.85, 7.0: 0.6}
#: Most that the busiest upstream may have of the mean.
MOST_IMBALANCE = 2.2


@attrs.define(eq=False)
class Job:
    """One request on its way through a fake engine."""

    entry: int
    prefix: bytes
    arrived: float
    tokens: int
    choice: object = None
    first_token: float = 0.0
    done: float = 0.0
    hit: bool = False


class FakeEngine:
    """One prefill lane before a batch that decodes together."""

    def __init__(self, name):
        self.name = name
        self.waiting = collections.deque()
        self.decoding = 0
        self.prefilling = False
        self.cache = collections.OrderedDict()
        self.served = 0
        self.busy_s = 0.0
        self.changed = 0.0
        self.load_then = 0
        self.sampled = -REPORT_EVERY_S

    @property
    def load(self):
        """Requests in the engine."""
        return len(self.waiting) + self.decoding + self.prefilling

    def note(self, now):
        """Add up the load over time, for the imbalance."""
        self.busy_s += self.load * (now - self.changed)
        self.changed = now
        if now - self.sampled >= REPORT_EVERY_S:
            self.load_then, self.sampled = self.load, now

    def lookup(self, prefix):
        """Return whether a prefix is cached; it is from now on."""
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return hit


class Run:
    """One policy over one list of arrivals."""

    def __init__(self, make_policy, upstreams, entries):
        self.engines = {f'u{i}': FakeEngine(f'u{i}') for i in range(upstreams)}
        self.routers = []
        for i in range(entries):
            router = routing.Router(make_policy(i), entry=f'e{i}')
            router.offer(
                routing.UpstreamView(name, '127.0.0.1:1', 'model')
                for name in self.engines
            )
            self.routers.append(router)
        self.events = []
        self.order = itertools.count()
        self.done = []

    def at(self, when, step, *args):
        """Put one step into the list of events."""
        heapq.heappush(self.events, (when, next(self.order), step, args))

    def play(self, jobs):
        """Carry out all events."""
        for job in jobs:
            self.at(job.arrived, self.arrive, job)
        while self.events:
            now, _, step, args = heapq.heappop(self.events)
            step(now, *args)

    def arrive(self, now, job):
        """Let the job's entry choose."""
        req = routing.RouteRequest('model', prefix=job.prefix)
        job.choice = self.routers[job.entry].choose(req, now)
        engine = self.engines[job.choice.upstream.name]
        engine.note(now)
        engine.waiting.append(job)
        self.prefill(now, engine)

    def prefill(self, now, engine):
        """Start the next prefill if the lane and a place are free."""
        if engine.prefilling or not engine.waiting:
            return
        if engine.decoding >= BATCH:
            return
        job = engine.waiting.popleft()
        engine.prefilling = True
        job.hit = engine.lookup(job.prefix)
        self.at(now + (HIT_S if job.hit else MISS_S), self.decode, job)

    def decode(self, now, job):
        """Give the first token and decode the rest."""
        engine = self.engines[job.choice.upstream.name]
        engine.note(now)
        engine.prefilling = False
        engine.decoding += 1
        job.first_token = now
        self.tell(now, job, finished=False)
        token_s = TOKEN_S * (1 + engine.decoding / BATCH)
        self.at(now + job.tokens * token_s, self.finish, job)
        self.prefill(now, engine)

    def finish(self, now, job):
        """End the job."""
        engine = self.engines[job.choice.upstream.name]
        engine.note(now)
        engine.decoding -= 1
        engine.served += 1
        job.done = now
        self.done.append(job)
        self.tell(now, job, finished=True)
        self.prefill(now, engine)

    def tell(self, now, job, finished):
        """Carry the engine's lagging load back on a reply."""
        engine = self.engines[job.choice.upstream.name]
        seen = routing.Observation(
            job.choice.upstream,
            routing.Result.ANSWERED,
            load=engine.load_then,
            finished=finished,
        )
        self.routers[job.entry].observe(seen, now)


def make_jobs(upstreams, entries, rate, seed=7):
    """Return arrivals: an idle time, a burst, an idle time."""
    rng = random.Random(seed)
    prefixes = [b'prompt %d' % i for i in range(10 * upstreams)]
    weights = [1 / (i + 1) ** 0.9 for i in range(len(prefixes))]
    jobs, now = [], 0.0
    end_s = IDLE_S + BURST_S + IDLE_S
    while now < end_s:
        burst = IDLE_S <= now < IDLE_S + BURST_S
        now += rng.expovariate((rate if burst else IDLE_RATE) * upstreams)
        prefix = rng.choices(prefixes, weights)[0]
        tokens = 1 + int(rng.expovariate(1 / MEAN_TOKENS))
        jobs.append(Job(rng.randrange(entries), prefix, now, tokens))
    return jobs


def policies():
    """Return the policies by name, each made anew for an entry."""
    return {
        'random': lambda i: routing.Random(random_state=i),
        'least in flight': lambda i: routing.LeastInFlight(random_state=i),
        'two choices': lambda i: routing.PowerOfTwoChoices(random_state=i),
        'unbounded affinity': lambda i: routing.PrefixAffinity(
            bound=1e9, slack=1e9, random_state=i
        ),
        'affinity, 1 home': lambda i: routing.PrefixAffinity(
            homes=1, random_state=i
        ),
        'affinity, 2 homes': lambda i: routing.PrefixAffinity(
            homes=2, random_state=i
        ),
        'affinity, half-life 2 s': lambda i: routing.PrefixAffinity(
            half_life_s=2.0, random_state=i
        ),
        'affinity, bound 2': lambda i: routing.PrefixAffinity(
            bound=2.0, random_state=i
        ),
        'affinity': lambda i: routing.PrefixAffinity(random_state=i),
    }


def measure(name, make_policy, upstreams, entries, rate):
    """Return one row of the table."""
    run = Run(make_policy, upstreams, entries)
    run.play(make_jobs(upstreams, entries, rate))
    took = [job.done - job.arrived for job in run.done]
    first = [job.first_token - job.arrived for job in run.done]
    busy = [engine.busy_s for engine in run.engines.values()]
    return {
        'upstreams': upstreams,
        'entries': entries,
        'rate_per_upstream': rate,
        'policy': name,
        'p50_s': round(report.percentile(took, 0.5), 3),
        'p99_s': round(report.percentile(took, 0.99), 3),
        'first_p50_s': round(report.percentile(first, 0.5), 3),
        'first_p99_s': round(report.percentile(first, 0.99), 3),
        'imbalance': round(max(busy) * len(busy) / sum(busy), 2),
        'hit_rate': round(sum(job.hit for job in run.done) / len(took), 3),
    }


def bounds(rows):
    """Return bounds on the chosen policy against random, at each place."""
    for chosen in rows:
        if chosen['policy'] != 'affinity':
            continue
        plain = next(row for row in rows if _place(row) == _place(chosen))
        where = '{}/{} at {}'.format(*_place(chosen))
        for name, most in (
            ('first_p99_s', MOST_FIRST_P99),
            ('p99_s', MOST_P99[chosen['rate_per_upstream']]),
        ):
            yield report.Bound(
                f'{name} over random, {where}',
                chosen[name] / plain[name],
                at_most=most,
            )
        yield report.Bound(
            f'imbalance, {where}', chosen['imbalance'], at_most=MOST_IMBALANCE
        )


def _place(row):
    return row['upstreams'], row['entries'], row['rate_per_upstream']


def main():
    """Print the table, write the result, check the bounds."""
    rows = [
        measure(name, make_policy, *place)
        for place in PLACES
        for name, make_policy in policies().items()
    ]
    columns = list(rows[0])
    report.print_table(
        'routing', columns, [list(row.values()) for row in rows]
    )
    report.write_result('bench_routing', rows)
    report.check_bounds(*bounds(rows))


if __name__ == '__main__':
    main()
