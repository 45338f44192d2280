"""What routing costs an entry as the fleet grows.

The entry's own subset stays as it is, so a choice should cost the same; the
list of upstreams grows in memory and in the time to take a new one.
"""

import time
import tracemalloc

from benchmarks import report
from catkinshunt import routing

SIZES = (100, 1000, 10000)
CHOICES = 2000
ROUNDS = 3
#: Most that a choice among the most upstreams may take of one among 100.
MOST_CHOICE = 2.0
MODEL, VERSION = 'drafts', 'v1'


def make_views(size):
    """Return the upstreams of a list, in ten data centres."""
    return [
        routing.UpstreamView(
            f'runner-{at}',
            f'127.0.0.1:{at % 60000 + 1}',
            'model',
            f'centre-{at % 10}',
            f'region-{at % 3}',
        )
        for at in range(size)
    ]


def make_router(size):
    """Return a router that knows `size` upstreams, and seconds to offer."""
    router = routing.Router(
        routing.PrefixAffinity(random_state=1),
        entry='e1',
        data_centre='centre-1',
        region='region-1',
    )
    views = make_views(size)
    begin = time.perf_counter()
    router.offer(views)
    router.choose(request(0), now=0.0)
    return router, time.perf_counter() - begin


def request(number):
    """Return a request with one of many prefixes."""
    return routing.RouteRequest(
        'model', prefix=b'prompt %d' % (number % 50), model=MODEL
    )


def choice_us(router):
    """Return microseconds of a choice and of learning from its reply."""
    best = float('inf')
    for _ in range(ROUNDS):
        begin = time.perf_counter()
        for number in range(CHOICES):
            choice = router.choose(request(number), now=number / 100)
            seen = routing.Observation(
                choice.upstream,
                routing.Result.ANSWERED,
                load=1.0,
                model_versions=frozenset({f'{MODEL}/{VERSION}'}),
            )
            router.observe(seen, now=number / 100)
        best = min(best, time.perf_counter() - begin)
    return best / CHOICES * 1e6


def change_ms(router):
    """Return milliseconds of a choice after one upstream's versions change."""
    best = float('inf')
    for number in range(ROUNDS):
        choice = router.choose(request(0), now=0.0)
        version = frozenset({f'{MODEL}/other-{number}'})
        seen = routing.Observation(
            choice.upstream,
            routing.Result.ANSWERED,
            model_versions=version,
        )
        begin = time.perf_counter()
        router.observe(seen, now=0.0)
        router.choose(request(0), now=0.0)
        best = min(best, time.perf_counter() - begin)
    return best * 1e3


def measure(size):
    """Return the row of one size."""
    tracemalloc.start()
    router, _ = make_router(size)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    router, offer_s = make_router(size)
    row = {
        'upstreams': size,
        'bytes_per_upstream': round(held / size),
        'offer_ms': round(offer_s * 1e3, 2),
        'choice_us': round(choice_us(router), 1),
        'change_ms': round(change_ms(router), 2),
    }
    reached = sum(bool(view.model_versions) for view in router.report())
    return row | {'upstreams_used': reached}


def main():
    """Print the table, write the result, check the bounds."""
    rows = [measure(size) for size in SIZES]
    report.print_table(
        'fleet', list(rows[0]), [list(row.values()) for row in rows]
    )
    report.write_result('bench_fleet', rows)
    report.check_bounds(
        report.Bound(
            'choice among 10000 over among 100',
            rows[-1]['choice_us'] / rows[0]['choice_us'],
            at_most=MOST_CHOICE,
        ),
        report.Bound(
            'upstreams used of 10000', rows[-1]['upstreams_used'], at_most=64
        ),
    )


if __name__ == '__main__':
    main()
