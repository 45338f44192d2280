"""Slopes of the platform's programs with the number of upstreams.

``python -m benchmarks.bench_platform`` prints processor time of one choice,
one rank and one plan, and bytes held for each upstream, at several sizes.
"""

import random
import time
import tracemalloc

from catkinshunt import catalog
from catkinshunt import dispatch
from catkinshunt import spread

SIZES = (10, 100, 1000)
CHUNKS = 96
CHOICES = 200
RANKS = 20000
ENGINE = catalog.EngineProfile(slots=16)


def make_upstreams(size):
    """Return `size` upstreams in three data centres."""
    return [
        catalog.Upstream(
            f'i-{number:08x}',
            'engines',
            (f'10.{number // 65536}.{number // 256 % 256}.{number % 256}', 80),
            f'zone-{number % 3}',
            started_at_ms=number,
            versions={'drafts': 1},
            slots=16,
        )
        for number in range(size)
    ]


def measure(size):
    """Return the figures at one size, as a mapping."""
    tracemalloc.start()
    held = catalog.Catalog()
    tracker = dispatch.UpstreamTracker()
    for upstream in make_upstreams(size):
        held.put_upstream(upstream)
        tracker.state(upstream)
    bytes_held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    upstreams = held.upstreams('engines', 0.0)
    return {
        'upstreams': size,
        'bytes_each': round(bytes_held / size),
        'choice_us_each': _choice_us(upstreams, tracker) / size,
        'plan_ms': _plan_ms(upstreams),
    }


def _choice_us(upstreams, tracker):
    chooser = dispatch.Chooser('zone-0', {})
    rng = random.Random(1)
    began = time.process_time()
    for _ in range(CHOICES):
        job = dispatch.Job(rng.randrange(2000), 90)
        chooser.choose(upstreams, tracker, ENGINE, job, 0.0)
    return (time.process_time() - began) / CHOICES * 1e6


def _plan_ms(upstreams):
    members = [spread.Member(u.address[0], u.data_centre) for u in upstreams]
    began = time.process_time()
    plan = spread.SourcePlan(members[0], members, {}, 'drafts', 2, CHUNKS)
    for index in range(CHUNKS):
        plan.sources(index)
    return (time.process_time() - began) * 1e3


def rank_us():
    """Return the processor time of ranking a request, in microseconds.

    The work is the same whatever the number of upstreams and entries: one
    look at the deadline, one rank, one delay learnt.
    """
    returns = dispatch.ClientRetryDetector()
    forecast = dispatch.DelayCorrector()
    rng = random.Random(1)
    began = time.process_time()
    for number in range(RANKS):
        waited_s = returns.estimate_wait_s('chat', 6.0 - rng.random(), number)
        forecast.rank(waited_s, 0.2, 0.5, number)
        forecast.observe(0.2, 0.3, number)
    return (time.process_time() - began) / RANKS * 1e6


def main():
    """Print the figures at all sizes."""
    from catkinshunt import logs

    logs.configure(level='WARNING')
    for size in SIZES:
        shown = measure(size)
        print(', '.join(f'{k} {v:.3g}' for k, v in shown.items()))
    print(f'rank_us {rank_us():.3g}')


if __name__ == '__main__':
    main()
