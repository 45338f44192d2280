"""Live requests on an instance with and without a transfer running.

Four agents in one process on loopback, with links paced to a rate; the
figures compare the cases within one run.
"""

import time

from benchmarks import report
from catkinshunt import httpio
from catkinshunt import weights
from standins import origin

KEY = 'key-of-the-benchmark'
LINK_BYTES_PER_S = 20e6
SIZE_BYTES = 40_000_000
CHUNK_BYTES = 400_000
N_INSTANCES = 4
N_REQUESTS = 400
ANSWER = bytes(2000)
PERIOD_S = 0.005


class Box:
    """An instance that serves chunks and live requests on one port."""

    def __init__(self, name, fleet, source):
        self.agent = weights.TransferAgent(
            name,
            KEY,
            lambda wanted: tuple(box.member for box in fleet),
            source,
            link_bytes_per_s=LINK_BYTES_PER_S,
            random_state=1,
        )
        self.chunks = weights.ChunkApp(
            self.agent, KEY, self.agent.upload_pacer
        )
        self.server = httpio.HttpServer(self, threads=24).start()
        self.address = httpio.Address('127.0.0.1', self.server.port)
        self.member = weights.Member(name, address=self.address)
        self.agent.start()

    def __call__(self, environ, start_response):
        """Answer a peer or a caller."""
        if environ['PATH_INFO'] != '/live':
            return self.chunks(environ, start_response)
        self.agent.upload_pacer.observe(len(ANSWER), time.monotonic())
        start_response('200 OK', [('Content-Length', str(len(ANSWER)))])
        return [ANSWER]

    def stop(self):
        """End both."""
        self.server.stop()
        self.agent.stop()


def _ask(box, until=lambda: False):
    """Return the milliseconds of each live request."""
    pool = httpio.ConnectionPool()
    taken = []
    while len(taken) < N_REQUESTS and not until():
        begin = time.perf_counter()
        conn, _ = pool.acquire(box.address)
        conn.request('GET', '/live')
        conn.getresponse().read()
        pool.release(box.address, conn)
        taken.append(1000 * (time.perf_counter() - begin))
        time.sleep(PERIOD_S)
    pool.close()
    return taken


def main():
    """Print the table and check that the transfer ended whole."""
    source = origin.Origin(
        rate_bytes_per_s=2 * LINK_BYTES_PER_S, chunk_bytes=CHUNK_BYTES
    )
    source.publish('m', 'v1', SIZE_BYTES)
    wanted = weights.TargetVersion('m', 'v1')
    with httpio.HttpServer(source.app, threads=16) as serving:
        address = httpio.Address('127.0.0.1', serving.port)
        fleet = []
        for i in range(N_INSTANCES):
            fleet.append(Box(f'instance-{i}', fleet, address))
        idle = _ask(fleet[0])
        begin = time.monotonic()
        for box in fleet:
            box.agent.offer(wanted)
        held = [False]
        busy = _ask(fleet[0], lambda: _whole(fleet, wanted, held))
        whole = [box.agent.wait_complete(wanted, 60.0) for box in fleet]
        taken_s = time.monotonic() - begin
        for box in fleet:
            box.stop()
    rows = [
        (name, len(taken), *(report.percentile(taken, q) for q in (0.5, 0.99)))
        for name, taken in (('idle', idle), ('transfer', busy))
    ]
    report.print_table('live requests', ('case', 'n', 'p50', 'p99'), rows)
    ratio = rows[1][3] / rows[0][3]
    link_s = SIZE_BYTES / LINK_BYTES_PER_S
    value = {
        'p50_idle_ms': round(rows[0][2], 2),
        'p50_transfer_ms': round(rows[1][2], 2),
        'p99_idle_ms': round(rows[0][3], 2),
        'p99_transfer_ms': round(rows[1][3], 2),
        'origin_copies': round(source.bytes_sent / SIZE_BYTES, 3),
        'link_time_ratio': round(taken_s / link_s, 2),
    }
    print(value, f'p99 ratio {ratio:.2f}')
    report.write_result('transfer', value)
    report.check_bounds(
        report.Bound('whole', sum(one is not None for one in whole), None, 4),
        report.Bound('origin copies', value['origin_copies'], 1.5),
    )


def _whole(fleet, wanted, held):
    if not held[0]:
        held[0] = all(
            (one := box.agent.transfer(*wanted.key)) and one.store.is_complete
            for box in fleet
        )
    return held[0]


if __name__ == '__main__':
    main()
