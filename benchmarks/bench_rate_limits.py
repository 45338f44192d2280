"""Limits that upstreams state, kept by several entries, in virtual time."""

import time

import loguru

from benchmarks import report
from catkinshunt.rate_limits.tests import replay
from catkinshunt.rate_limits.tests import test_replay
from standins import rate_rule

WARM_UP_S = 10.0
RUN_S = 60.0
#: Requests of clients per second at each upstream.
DEMAND_PER_S = 20.0
UPSTREAMS = 6
#: Looks at one limit whose processor time is measured.
LOOKS = 10_000
#: Entries, limited upstreams of `UPSTREAMS`, limit in requests per second.
CASES = (
    (1, 3, 1.0),
    (12, 3, 1.0),
    (36, 3, 1.0),
    (36, 6, 1.0),
    (36, 6, 0.25),
    (36, 6, 12.0),
    (120, 6, 1.0),
)


def measure(entries, limited, per_s):
    """Return the row of one case with constant limits."""
    played = replay.Replay(1, entries, UPSTREAMS, UPSTREAMS * DEMAND_PER_S)
    for number in range(limited):
        test_replay.state_limit(played, number, per_s)
    played.run(WARM_UP_S)
    sent, sent_bytes = played.datagrams, played.datagram_bytes
    refused, arrived = played.refused, count_arrivals(played, limited)
    played.run(RUN_S)
    used = count_arrivals(played, limited) - arrived
    return {
        'entries': entries,
        'limited': limited,
        'per_s': per_s,
        'used_share': used / (limited * per_s * RUN_S),
        'refused_share': (played.refused - refused)
        / (UPSTREAMS * DEMAND_PER_S * RUN_S),
        'windows_above': len(played.find_excess()),
        'datagrams_per_entry_s': (played.datagrams - sent) / entries / RUN_S,
        'bytes_per_entry_s': (played.datagram_bytes - sent_bytes)
        / entries
        / RUN_S,
    }


def count_arrivals(played, limited):
    """Return the requests that the limited upstreams got."""
    return sum(
        len(upstream.history.arrivals)
        for upstream in played.upstreams[:limited]
    )


def processor_times_us(entries):
    """Return microseconds for the first and a further look at a limit.

    The first one after a change of the list of entries orders all of them.
    Depends on the machine, so it is printed and not part of the result.
    """
    played = replay.Replay(1, entries, 1, DEMAND_PER_S)
    played.entries[0].update_from_store()
    limiter = played.entries[0].limiter
    key = played.upstreams[0].key
    limiter.observe(key, 1.0, -0.1, 0.0)
    times = []
    for count in (1, LOOKS):
        began = time.process_time()
        for number in range(count):
            limiter.wait_s(key, number / LOOKS)
        times.append((time.process_time() - began) / count * 1e6)
    return times


def main():
    """Print the table, write the result, check the bounds."""
    loguru.logger.remove()
    rows = [measure(*case) for case in CASES]
    columns = list(rows[0])
    report.print_table(
        'rate limits', columns, [list(row.values()) for row in rows]
    )
    report.write_result('bench_rate_limits', rows)
    for entries in (36, 950):
        first_us, next_us = processor_times_us(entries)
        print(f'  {entries} entries: {first_us:.0f} us, then {next_us:.1f} us')
    report.check_bounds(
        report.Bound(
            'windows above a limit',
            sum(row['windows_above'] for row in rows),
            at_most=0,
        ),
        report.Bound(
            'share of the rate that is allowed',
            max(row['used_share'] for row in rows),
            at_most=rate_rule.RATE_FACTOR,
        ),
    )


if __name__ == '__main__':
    main()
