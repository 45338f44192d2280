"""Strategies of weight distribution over the same stand-in links.

Without arguments the chosen strategy is run and its bounds are checked.
``--full`` compares all strategies and leanings, which takes minutes. Times
are ratios to the limit: one link time with full duplex links, two with
shared ones.
"""

import concurrent.futures
import math
import random
import sys

import attrs

from benchmarks import links
from benchmarks import report
from catkinshunt import weights

N_CHUNKS = 100
GOAL_CHUNKS = 400
N_PROCESSES = 3
SIZES = (8, 50, 200)
LEANS = (0.0, 0.25, 0.5, 0.75, 1.0)
FAILURES = {
    'none': {},
    '5 % die': {'dying_share': 0.05},
    'one stalls': {'stalled': 1},
    'corrupt': {'corrupting': 1, 'corrupt_share': 0.005},
}
COLUMNS = (
    'strategy',
    'n',
    'chunks',
    'link',
    'failure',
    'lean',
    'time',
    'origin',
    'link copies',
    'crossings',
    'messages',
    'short',
)
STRATEGIES = {
    'chain': weights.ChainStrategy,
    'tree': weights.TreeStrategy,
    'striped': weights.StripedStrategy,
    'swarm': weights.SwarmStrategy,
}


@attrs.frozen
class Case:
    """One run: how many instances, and what fails."""

    strategy = attrs.field(default='swarm')
    params = attrs.field(factory=dict)
    replicas = attrs.field(default=200)
    dying_share = attrs.field(default=0.0)
    stalled = attrs.field(default=0)
    corrupting = attrs.field(default=0)
    corrupt_share = attrs.field(default=0.0)
    shared = attrs.field(default=False)
    data_centres = attrs.field(default=1)
    n_chunks = attrs.field(default=N_CHUNKS)
    origin_rate = attrs.field(default=2.0)
    seed = attrs.field(default=1)


@attrs.frozen
class Outcome:
    """What was measured; time is None where not every replica got whole."""

    time_ratio = attrs.field()
    origin_copies = attrs.field()
    max_link_copies = attrs.field()
    crossing_copies = attrs.field()
    messages = attrs.field()
    missing = attrs.field()


def run(case):
    """Run `case` and return its `Outcome`."""
    rng = random.Random(case.seed)
    fabric = _fabric(case, rng)
    nodes = list(fabric.nodes.values())
    n_dying = math.ceil(case.dying_share * case.replicas)
    for node in rng.sample(nodes, n_dying):
        fabric.at(rng.random(), fabric.kill, node)
    for node in rng.sample(nodes, case.stalled):
        fabric.at(0.3, fabric.stall, node)
    for node in rng.sample(nodes, case.corrupting):
        node.corrupts = True
    fabric.run()
    return _outcome(case, fabric)


def _fabric(case, rng):
    members = tuple(
        weights.Member(f'instance-{i}', f'dc-{i % case.data_centres}')
        for i in range(case.replicas)
    )
    settings = links.LinkSettings(
        shared=case.shared,
        origin_rate=case.origin_rate,
        corrupt_share=case.corrupt_share,
    )
    nodes = {}
    for one in members:
        strategy = _strategy(case, rng)
        nodes[one.name] = links.Node(
            member=one,
            link=links.Link(shared=case.shared),
            view=weights.TransferView(one.name, members, case.n_chunks),
            strategy=strategy,
            upload_limiter=weights.UploadLimiter(
                1.0, strategy.budget_copies, strategy.max_uploads
            ),
        )
    return links.Fabric(nodes, settings, case.n_chunks, rng)


def _strategy(case, rng):
    params = dict(case.params)
    if case.strategy == 'swarm':
        params.setdefault('origin_copy_s', 1 / case.origin_rate)
        params['random_state'] = rng.randrange(2**32)
    return STRATEGIES[case.strategy](**params)


def _outcome(case, fabric):
    wanted = [
        node
        for node in fabric.nodes.values()
        if node.alive and not node.link.stalled
    ]
    missing = sum(node.done_at is None for node in wanted)
    limit = 2 if case.shared else 1
    last = None if missing else max(node.done_at for node in wanted) / limit
    most = max(
        node.link.sent + node.link.received for node in fabric.nodes.values()
    )
    between = sum(
        part for (a, _), part in fabric.crossings.items() if a != 'origin'
    )
    return Outcome(
        time_ratio=last,
        origin_copies=fabric.origin.sent,
        max_link_copies=most,
        crossing_copies=between,
        messages=fabric.messages / case.replicas,
        missing=missing,
    )


def worst(case, seeds):
    """Return the worst of each figure over `seeds`."""
    found = [run(attrs.evolve(case, seed=seed)) for seed in seeds]
    times = [one.time_ratio for one in found]
    fields = {
        field.name: max(getattr(one, field.name) for one in found)
        for field in attrs.fields(Outcome)
        if field.name != 'time_ratio'
    }
    slowest = None if None in times else max(times)
    return Outcome(time_ratio=slowest, **fields)


def strategy_cases():
    """Yield the cases that compare the strategies, by two seeds."""
    for strategy in STRATEGIES:
        for n in SIZES:
            for shared in (False, True):
                for failure in FAILURES.values():
                    yield Case(
                        strategy=strategy,
                        replicas=n,
                        shared=shared,
                        **failure,
                    )


def lean_cases():
    """Yield the curve between origin bytes and time to N."""
    for shared in (False, True):
        for n in (8, 200):
            for lean in LEANS:
                yield Case(
                    replicas=n,
                    shared=shared,
                    params={'lean': lean},
                    data_centres=3,
                    dying_share=0.05,
                )


def goal_cases():
    """Yield the chosen strategy at 200 instances and smaller chunks."""
    for shared in (False, True):
        for failure in ('none', '5 % die'):
            yield Case(
                shared=shared, n_chunks=GOAL_CHUNKS, **FAILURES[failure]
            )


def _measure(item):
    case, seeds = item
    return case, worst(case, seeds)


def _failure(case):
    for name, params in FAILURES.items():
        if params and all(getattr(case, k) == v for k, v in params.items()):
            return name
    return 'none'


def _row(case, out):
    return {
        'strategy': case.strategy,
        'n': case.replicas,
        'chunks': case.n_chunks,
        'link': 'shared' if case.shared else 'duplex',
        'failure': _failure(case),
        'lean': case.params.get('lean', 0.0),
        'time': out.time_ratio and round(out.time_ratio, 3),
        'origin': round(out.origin_copies, 3),
        'link copies': round(out.max_link_copies, 3),
        'crossings': round(out.crossing_copies, 2),
        'messages': round(out.messages),
        'short': out.missing,
    }


def _table(title, cases, seeds):
    with concurrent.futures.ProcessPoolExecutor(N_PROCESSES) as pool:
        found = pool.map(_measure, [(case, seeds) for case in cases])
        rows = [_row(case, out) for case, out in found]
    report.print_table(
        title, COLUMNS, [[row[name] for name in COLUMNS] for row in rows]
    )
    return rows


def run_full():
    """Compare all strategies and leanings; write the tables."""
    value = {
        'strategies': _table('strategies', list(strategy_cases()), (1, 2)),
        'lean': _table('lean', list(lean_cases()), (1, 2)),
        'goal': _table('goal', list(goal_cases()), (1, 2, 3)),
    }
    report.write_result('weights_full', value)


def run_bounds():
    """Run the chosen strategy with 5 % dying and check its bounds."""
    cases = [
        Case(replicas=n, shared=shared, dying_share=0.05)
        for n in SIZES
        for shared in (False, True)
    ]
    cases.append(Case(strategy='chain', replicas=50, dying_share=0.05))
    rows = _table('weights', cases, (1,))
    report.write_result('weights', rows)
    swarm = [row for row in rows if row['strategy'] == 'swarm']
    duplex = [row['time'] for row in swarm if row['link'] == 'duplex']
    shared = [row['time'] for row in swarm if row['link'] == 'shared']
    report.check_bounds(
        report.Bound('short', sum(row['short'] for row in swarm), 0),
        report.Bound('time over limit, duplex', max(duplex), 1.35),
        report.Bound('time over limit, shared', max(shared), 1.25),
        report.Bound('origin', max(row['origin'] for row in swarm), 1.12),
        report.Bound(
            'link copies', max(row['link copies'] for row in swarm), 2.06
        ),
    )


if __name__ == '__main__':
    run_full() if '--full' in sys.argv else run_bounds()
