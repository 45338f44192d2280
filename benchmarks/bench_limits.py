"""Admission beside one upstream while a few large accounts flood it.

Virtual time over the real queues. FIFO with a length limit is the baseline.
"""

import heapq
import itertools
import random

from benchmarks import report
from catkinshunt import errors
from catkinshunt import limits

CONCURRENCY = 8
MEAN_SERVICE_S = 0.4
DEADLINE_S = 3.0
LENGTH_S = 60.0
#: Requests a second by account: two large ones and eight small ones.
RATES = {'large-1': 20.0, 'large-2': 12.0}
RATES.update({f'small-{i}': 0.6 for i in range(8)})


def make_arrivals(seed=3):
    """Return pairs of time and account, in order."""
    rng = random.Random(seed)
    arrivals = []
    for account, rate in RATES.items():
        now = rng.expovariate(rate)
        while now < LENGTH_S:
            arrivals.append((now, account, rng.expovariate(1.0)))
            now += rng.expovariate(rate)
    return sorted(arrivals)


class Run:
    """One queue over one list of arrivals."""

    def __init__(self, queue):
        self.admission = limits.Admission(queue, CONCURRENCY)
        self.events = []
        self.order = itertools.count()
        self.asked = {}
        self.work_s = {}
        self.started = set()
        self.ends = {}
        self.refused = {}

    def play(self, arrivals):
        """Carry out all arrivals and ends."""
        for now, account, work in arrivals:
            self.at(now, self.arrive, account, work * MEAN_SERVICE_S)
        while self.events:
            now, _, step, args = heapq.heappop(self.events)
            step(now, *args)
            self.start(now)

    def at(self, when, step, *args):
        """Put one step into the list of events."""
        heapq.heappush(self.events, (when, next(self.order), step, args))

    def arrive(self, now, account, work_s):
        """Offer one request; give it up at its deadline."""
        ticket = limits.Ticket('', account, now + DEADLINE_S)
        self.asked[ticket] = now
        self.work_s[ticket] = work_s
        try:
            self.admission.offer(ticket, now)
            self.at(ticket.deadline, self.expire, ticket)
        except errors.OverloadedError:
            self.refused[ticket] = now

    def start(self, now):
        """Run what was let through, note what was refused."""
        for ticket in list(self.asked):
            if ticket in self.started or ticket in self.refused:
                continue
            if not ticket.fut.done():
                continue
            if ticket.fut.exception():
                self.refused[ticket] = now
                continue
            self.started.add(ticket)
            self.at(now + self.work_s[ticket], self.end, ticket)

    def end(self, now, ticket):
        """End one request."""
        self.ends[ticket] = now
        self.admission.finish(ticket, now)

    def expire(self, now, ticket):
        """Give up a request that still waits."""
        if self.admission.queue.remove(ticket):
            self.refused[ticket] = now


def measure(name, queue):
    """Return one row of the table."""
    run = Run(queue)
    run.play(make_arrivals())
    row = {'queue': name}
    for kind in ('small', 'large'):
        asked = [t for t in run.asked if t.account.startswith(kind)]
        took = [run.ends[t] - run.asked[t] for t in asked if t in run.ends]
        in_time = sum(each <= DEADLINE_S for each in took)
        row[f'{kind}_in_time'] = round(in_time / len(asked), 3)
        row[f'{kind}_p99_s'] = round(report.percentile(took, 0.99), 3)
    done = sum(end - run.asked[t] <= DEADLINE_S for t, end in run.ends.items())
    waits = [now - run.asked[t] for t, now in run.refused.items()] or [0.0]
    row['in_time_per_s'] = round(done / LENGTH_S, 2)
    row['late'] = len(run.ends) - done
    row['refused'] = len(run.refused)
    at_once = sum(each == 0.0 for each in waits)
    row['refused_at_once'] = round(at_once / len(waits), 3)
    row['refused_p99_s'] = round(report.percentile(waits, 0.99), 3)
    return row


def main():
    """Print the table, write the result, check the bounds."""
    rows = [
        measure('fifo, 1000', limits.FifoQueue(1000)),
        measure('fifo, 64', limits.FifoQueue(64)),
        measure('fair, 64', limits.FairQueue(64, random_state=0)),
        measure('fair, 1000', limits.FairQueue(1000, random_state=0)),
    ]
    columns = list(rows[0])
    report.print_table('limits', columns, [list(row.values()) for row in rows])
    report.write_result('bench_limits', rows)
    plain, fair = rows[1], rows[2]
    report.check_bounds(
        report.Bound(
            'small accounts answered in time',
            fair['small_in_time'],
            at_least=0.95,
        ),
        report.Bound(
            'p99 of small accounts over FIFO',
            fair['small_p99_s'] / plain['small_p99_s'],
            at_most=0.75,
        ),
        report.Bound(
            'in time a second over FIFO',
            fair['in_time_per_s'] / plain['in_time_per_s'],
            at_least=0.9,
        ),
    )


if __name__ == '__main__':
    main()
