"""Measures what keeping up with the others costs one process.

Bytes and processor time of a pull and of an offer over a kept connection,
memory of a connection, and the instance list of 10,950 instances.
"""

import asyncio.selector_events
import json
import os
import time
import tracemalloc

from benchmarks import bench_configuration
from benchmarks import processes
from benchmarks import report
from catkinshunt import configuration
from catkinshunt.dissemination import dissemination_grpc
from catkinshunt.dissemination import dissemination_pb2
from catkinshunt.dissemination import grpc_transport
from catkinshunt import instances
from catkinshunt import logs
from catkinshunt import peers

CALLS = 300
CONNECTIONS = 200
INSTANCES = 10_950
NEVER_S = 3600.0
GONE = 3


class CountedWrites:
    """Counts the bytes that asyncio's sockets write in this process."""

    def __init__(self):
        self.count = 0
        transport = asyncio.selector_events._SelectorSocketTransport
        write = transport.write

        def counted(sock, data):
            self.count += len(data)
            return write(sock, data)

        transport.write = counted


def make_items():
    """Return the listings of a large deployment."""
    return [
        {
            'name': f'runner-{n:05d}',
            'role': 'upstream',
            'service': f'service-{n % 20}',
            'data_centre': f'place-{n % 10}',
            'region': f'region-{n % 3}',
            'address': f'10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000',
            'control_address': f'10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8001',
            'state': 'live',
        }
        for n in range(INSTANCES)
    ]


def read(items, revision):
    """Return the `Listing` that the platform's answer makes."""
    text = json.dumps({'revision': revision, 'instances': items})
    return instances.read_listing(text)


def measure_list():
    """Return the row of the instance list."""
    text = json.dumps({'revision': 1, 'instances': make_items()})
    tracemalloc.start()
    directory = instances.Directory()
    directory.offer(instances.read_listing(text), 0.0)
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    other = instances.Directory()
    whole = directory.make_update(0)
    other.apply_update(whole, 0.0)
    listing = read(make_items()[GONE:], 2)
    read_ms = _timed_ms(directory.offer, listing, 1.0)
    change = directory.make_update(1)
    return {
        'instances': INSTANCES,
        'held_mb': held / 1e6,
        'peak_mb': peak / 1e6,
        'whole_bytes': whole.size,
        'change_bytes': change.size,
        'find_change_ms': read_ms,
        'take_change_ms': _timed_ms(other.apply_update, change, 1.0),
    }


def measure_calls():
    """Return the rows of a pull and of an offer, and memory a connection."""
    written = CountedWrites()
    history = bench_configuration.HISTORY
    fleet = bench_configuration.SocketFleet(2, period_s=NEVER_S)
    fleet.nodes[0].config_replica.offer(history[1], 0.0)
    pool = peers.PeerPool(bench_configuration.KEY, fleet.loops[0])
    calls = grpc_transport.GrpcPeerTransport('other', pool)
    peer = fleet.members[0]
    held = {'configuration': history[1].revision}
    update = configuration.make_update(history[1], history[0].revision)
    rows = [
        _calls('pull', written, lambda: calls.pull(peer, held).result()),
        _calls('offer', written, lambda: calls.offer(peer, update).result()),
    ]
    memory = _connections(fleet, peer.control_address)
    pool.close()
    fleet.stop()
    return rows, memory


def _calls(name, written, call):
    call()
    bytes_before, cpu_before = written.count, time.process_time()
    for _ in range(CALLS):
        call()
    cpu_s = time.process_time() - cpu_before
    return {
        'call': name,
        'bytes_both_ways': (written.count - bytes_before) / CALLS,
        'cpu_ms_both_sides': 1000 * cpu_s / CALLS,
    }


def _connections(fleet, address):
    """Return kilobytes that a connection takes, both ends together."""
    before = processes.usage(os.getpid()).rss_bytes
    clients = [
        peers.PeerClient(address, bench_configuration.KEY, fleet.loops[0])
        for _ in range(CONNECTIONS)
    ]
    stub = dissemination_grpc.DisseminationStub
    for client in clients:
        client.call(stub, 'Pull', dissemination_pb2.Held()).result()
    taken = processes.usage(os.getpid()).rss_bytes - before
    for client in clients:
        client.close()
    return taken / CONNECTIONS / 1024


def _timed_ms(function, *args):
    start = time.process_time()
    function(*args)
    return (time.process_time() - start) * 1000


def main():
    """Print the tables, write the result, check the bounds."""
    logs.configure(level='ERROR')
    listed = measure_list()
    calls, connection_kb = measure_calls()
    for title, rows in (('instance list', [listed]), ('calls', calls)):
        columns = list(rows[0])
        report.print_table(
            title, columns, [[row[c] for c in columns] for row in rows]
        )
    print(f'  a connection takes {connection_kb:.0f} KB, both ends')
    result = {
        'list': listed,
        'calls': calls,
        'connection_kb': connection_kb,
    }
    report.write_result('bench_control', result)
    report.check_bounds(
        report.Bound(
            'change over whole list in bytes',
            listed['change_bytes'] / listed['whole_bytes'],
            at_most=0.01,
        ),
        report.Bound(
            'bytes of a pull that brings nothing',
            calls[0]['bytes_both_ways'],
            at_most=400,
        ),
    )


if __name__ == '__main__':
    main()
