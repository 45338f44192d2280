"""Offered load over demand while half of the upstreams are out.

Virtual time over the real router and retry policy. The upstreams that are
out take a connection and then lose it, as a frozen or crashing process does,
so that only the answers' loss tells. Upstreams that are up refuse above their
rate. The baseline retries without a budget.
"""

import random

from benchmarks import report
from catkinshunt import errors
from catkinshunt import retries
from catkinshunt import routing

UPSTREAMS, ENTRIES = 20, 6
DEMAND_PER_S = 200.0
#: What one upstream can do in a second.
RATE_PER_S = 14.0
LENGTH_S = 60.0
OUT_FROM_S, OUT_TO_S = 15.0, 45.0
DEADLINE_S = 2.0
TRY_S = 0.02


class FakeUpstream:
    """Takes so many requests a second, or none while it is out."""

    def __init__(self, out):
        self.out = out
        self.tokens = RATE_PER_S
        self.filled = 0.0

    def exchange(self, now):
        """Raise unless the request is answered."""
        if self.out and OUT_FROM_S <= now < OUT_TO_S:
            raise errors.OutcomeUnknownError('no reply', step='exchange')
        earned = (now - self.filled) * RATE_PER_S
        self.tokens = min(RATE_PER_S, self.tokens + earned)
        self.filled = now
        if self.tokens < 1:
            raise errors.OverloadedError('full', step='queue')
        self.tokens -= 1


class NoHealth(routing.HealthTracker):
    """Takes no note of failures."""

    def observe(self, observation, now):
        """Leave the upstream as it is."""


class Run:
    """One retry policy over one list of arrivals."""

    def __init__(self, make_budget, max_tries, make_health):
        self.upstreams = {
            f'u{i}': FakeUpstream(out=i % 2 == 0) for i in range(UPSTREAMS)
        }
        self.entries = []
        for i in range(ENTRIES):
            router = routing.Router(
                routing.PowerOfTwoChoices(random_state=i),
                entry=f'e{i}',
                health=make_health(random_state=i),
            )
            router.offer(
                routing.UpstreamView(name, '127.0.0.1:1', 'model')
                for name in self.upstreams
            )
            policy = retries.RetryPolicy(make_budget(), max_tries)
            self.entries.append((router, policy))
        self.demand = self.offered = self.answered = self.failed_sent = 0

    def serve(self, entry, arrived):
        """Bring one request to its end."""
        router, policy = self.entries[entry]
        policy.offer()
        outage = OUT_FROM_S <= arrived < OUT_TO_S
        self.demand += outage
        now, tries, tried = arrived, 0, set()
        while True:
            tries += 1
            req = routing.RouteRequest('model', excluded=tried)
            exc = self.attempt(router, req, now, tried, outage)
            if exc is None:
                self.answered += outage
                return
            now += TRY_S
            deadline = arrived + DEADLINE_S
            if not policy.check(exc, True, tries, deadline, now).should_retry:
                return

    def attempt(self, router, req, now, tried, outage):
        """Return the error of one try, or None."""
        try:
            choice = router.choose(req, now)
        except errors.RefusedError as exc:
            return exc
        name = choice.upstream.name
        tried.add(name)
        self.offered += outage
        result, failed = routing.Result.ANSWERED, None
        try:
            self.upstreams[name].exchange(now)
        except errors.RefusedError as exc:
            result, failed = routing.Result.REFUSED, exc
        except errors.OutcomeUnknownError as exc:
            result, failed = routing.Result.FAILED, exc
            self.failed_sent += 1
        seen = routing.Observation(choice.upstream, result)
        router.observe(seen, now + TRY_S)
        return failed


def measure(name, make_budget, max_tries, make_health):
    """Return one row of the table."""
    rng = random.Random(5)
    run = Run(make_budget, max_tries, make_health)
    now = 0.0
    while now < LENGTH_S:
        now += rng.expovariate(DEMAND_PER_S)
        run.serve(rng.randrange(ENTRIES), now)
    return {
        'policy': name,
        'demand': run.demand,
        'offered_over_demand': round(run.offered / run.demand, 3),
        'answered': round(run.answered / run.demand, 3),
        'sent_to_the_dead': run.failed_sent,
    }


def main():
    """Print the table, write the result, check the bounds."""
    rows = [
        measure('no retry', lambda: None, 1, routing.HealthTracker),
        measure('3 tries, no budget, no health', lambda: None, 3, NoHealth),
        measure('10 tries, no budget, no health', lambda: None, 10, NoHealth),
        measure(
            '10 tries, no budget', lambda: None, 10, routing.HealthTracker
        ),
        measure('3 tries, budget 0.1, no health', retries.Budget, 3, NoHealth),
        measure(
            '3 tries, budget 0.1', retries.Budget, 3, routing.HealthTracker
        ),
    ]
    columns = list(rows[0])
    report.print_table(
        'retries', columns, [list(row.values()) for row in rows]
    )
    report.write_result('bench_retries', rows)
    chosen, plain = rows[-1], rows[3]
    slack = ENTRIES * retries.Budget().burst / chosen['demand']
    report.check_bounds(
        report.Bound(
            'offered over demand in a half outage',
            chosen['offered_over_demand'],
            at_most=1.1 + slack,
        ),
        report.Bound(
            'the same without health',
            rows[4]['offered_over_demand'],
            at_most=1.1 + slack,
        ),
        report.Bound(
            'answered over that without a budget',
            chosen['answered'] / plain['answered'],
            at_least=0.85,
        ),
    )


if __name__ == '__main__':
    main()
