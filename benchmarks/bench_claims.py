"""Calls to the key-value service for at-most-once claims.

Compares one key per claim, sharded documents with group commit, and a
record in memory. The store takes a bounded number of writes a second, as
the platform's does. Run with ``python -m benchmarks.bench_claims``.
"""

from concurrent import futures
import itertools
import json
import threading
import time

import attrs

from benchmarks import report
from catkinshunt import claims
from catkinshunt.claims.tests import fakes

REQUESTS = 1000
ENTRIES = 2
STORE_WRITES_PER_S = 400
STORE_LATENCY_S = 0.002
CALLERS = (1, 16, 64, 256)


class BoundedStore(fakes.FakeStore):
    """A store with a latency and a bounded rate of writes."""

    def __init__(self):
        super().__init__()
        self.written_bytes = 0
        self._slot = 0.0
        self._slots = threading.Lock()

    def get(self, key):
        time.sleep(STORE_LATENCY_S)
        return super().get(key)

    def put(self, key, value, expected_revision, lease=None):
        with self._slots:
            now = time.monotonic()
            self._slot = max(now, self._slot) + 1 / STORE_WRITES_PER_S
            wait_s = self._slot - now
            self.written_bytes += len(value)
        time.sleep(wait_s + STORE_LATENCY_S)
        return super().put(key, value, expected_revision)


class KeyPerClaim:
    """The plainer way: one key for each claim, written twice."""

    def __init__(self, store):
        self.store = store

    def start(self):
        return self

    def stop(self):
        pass

    def claim(self, account, key, request_digest, attempt, now, deadline):
        row = [attempt, request_digest, now, deadline]
        value = json.dumps(row).encode()
        return key, self.store.put(f'claims/{key}', value, 0)

    def finish(self, claim, outcome, now):
        key, revision = claim
        row = ['attempt', 'digest', now, now, outcome.status]
        value = json.dumps(row).encode() + outcome.body
        self.store.put(f'claims/{key}', value, revision)


class InMemory(KeyPerClaim):
    """A record beside the upstream; it is gone after a restart."""

    def claim(self, account, key, request_digest, attempt, now, deadline):
        return self.__dict__.setdefault(key, attempt)

    def finish(self, claim, outcome, now):
        pass


def _sharded(shards):
    def make(store):
        return claims.Ledger(
            store,
            shards=shards,
            commit_timeout_s=30.0,
            writes_per_s=STORE_WRITES_PER_S / ENTRIES,
        )

    return make


VARIANTS = {
    'key per claim': KeyPerClaim,
    'shards 8': _sharded(8),
    'shards 32': _sharded(32),
    'shards 256': _sharded(256),
    'in memory': InMemory,
}


@attrs.frozen
class Row:
    """Figures of one variant at one number of callers."""

    variant: str
    callers: int
    puts_per_1000: float
    gets_per_1000: float
    written_kb_per_1000: float
    p50_ms: float
    p99_ms: float
    elapsed_s: float


def run(variant, callers):
    """Claim and finish `REQUESTS` requests over `ENTRIES` ledgers."""
    store = BoundedStore()
    ledgers = [VARIANTS[variant](store).start() for _ in range(ENTRIES)]
    outcome = claims.Outcome(200, 'application/json', b'{"booking": 12345}')
    numbers = itertools.count()
    waits = []

    def call():
        for number in iter(numbers.__next__, None):
            if number >= REQUESTS:
                return
            now = time.time()
            began = time.perf_counter()
            ledger = ledgers[number % ENTRIES]
            claim = ledger.claim(
                'acme', f'k{number}', 'd', f'a{number}', now, now + 60
            )
            waits.append(time.perf_counter() - began)
            ledger.finish(claim, outcome, now)

    began = time.perf_counter()
    with futures.ThreadPoolExecutor(callers) as pool:
        for fut in [pool.submit(call) for _ in range(callers)]:
            fut.result()
    elapsed_s = time.perf_counter() - began
    for ledger in ledgers:
        ledger.stop()
    waits.sort()
    scale = 1000 / REQUESTS
    return Row(
        variant,
        callers,
        store.calls['put'] * scale,
        store.calls['get'] * scale,
        round(store.written_bytes / 1000 * scale, 1),
        round(waits[len(waits) // 2] * 1000, 1),
        round(waits[len(waits) * 99 // 100] * 1000, 1),
        round(elapsed_s, 2),
    )


def main():
    """Print the table, write the results and check the bounds."""
    rows = [
        run(variant, callers) for variant in VARIANTS for callers in CALLERS
    ]
    fields = [field.name for field in attrs.fields(Row)]
    report.print_table(
        f'{REQUESTS} claims and outcomes over {ENTRIES} entries, store of '
        f'{STORE_WRITES_PER_S} writes/s',
        fields,
        [attrs.astuple(row) for row in rows],
    )
    report.write_result('claims', [attrs.asdict(row) for row in rows])
    found = {(row.variant, row.callers): row for row in rows}
    report.check_bounds(*_bounds(found))


def _bounds(found):
    def ratio(field, callers):
        chosen = getattr(found['shards 32', callers], field)
        return chosen / getattr(found['key per claim', callers], field)

    return (
        report.Bound(
            'writes over key per claim, 256 callers',
            ratio('puts_per_1000', 256),
            at_most=0.45,
        ),
        report.Bound(
            'writes over key per claim, 1 caller',
            ratio('puts_per_1000', 1),
            at_most=1.15,
        ),
        report.Bound(
            'p50 over key per claim, 256 callers',
            ratio('p50_ms', 256),
            at_most=0.6,
        ),
    )


if __name__ == '__main__':
    main()
