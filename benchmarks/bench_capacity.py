"""Slopes from which ``docs/CAPACITY.md`` is worked out.

An entry and a sidecar run as processes of their own before stand-ins. Each
slope is the difference between two sizes of one thing in the same run, so
that what does not grow drops out.
"""

import concurrent.futures
import contextlib
import json
import threading

import attrs

from benchmarks import processes
from benchmarks import report
from catkinshunt import configuration
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import kvstore
from catkinshunt import rules
from standins import instance_list
from standins import launch

MODEL = 'capacity'
VERSION = 'v1'
KEY = 'capacity-deployment-key'
SERVICE = 'model-servers'
REQUESTS = 400
CALLERS = 8
FEW_PIECES = 10
MANY_PIECES = 500
STREAMS = 40
IDLE_S = 10.0
SETTLED_S = 1.0
SETTLED_SHARE = 0.02
CHANGES = 20
CHANGE_EVERY_S = 0.5
FEW_RULES = 10
MANY_RULES = 1000
FEW_UPSTREAMS = 1
MANY_UPSTREAMS = 1000


@attrs.define
class Deployment:
    """One entry, one sidecar and the stand-ins that they need."""

    launcher: launch.Launcher
    store: httpio.Address
    listing: httpio.Address
    engine: httpio.Address
    sidecar: launch.Launched | None = None
    entry: launch.Launched | None = None
    ports: tuple = ()

    @classmethod
    def start(cls, launcher, threads=64):
        """Start everything and wait until a request is answered."""
        self = cls(
            launcher,
            launcher.standin('key-value', 'key-value').address,
            launcher.standin('instance-list', 'instance-list').address,
            launcher.standin('engine', 'engine', slots=64).address,
        )
        origin = launcher.standin('origin', 'origin').address
        _put(origin, f'/models/{MODEL}/{VERSION}?size_bytes=1000000')
        self.accept(FEW_RULES)
        cfg = {
            'region': 'region-1',
            'data_centre': 'centre-1',
            'deployment_key': KEY,
            'log_level': 'INFO',
            'threads': threads,
            'platform': {
                'key_value': str(self.store),
                'instance_list': str(self.listing),
                'origin': str(origin),
            },
        }
        self.ports = launch.free_ports(3)
        side = {
            'port': self.ports[2],
            'control_port': self.ports[0],
            'name': 'runner-0',
            'service': SERVICE,
            'upstream': str(self.engine),
            'is_engine': True,
            'concurrency': 64,
        }
        self.sidecar = launcher.process('runner-0', 'sidecar', cfg | side)
        self.list_upstreams(FEW_UPSTREAMS)
        front = {'name': 'entry-0', 'control_port': self.ports[1]}
        self.entry = launcher.process('entry-0', 'entry', cfg | front)
        while not self.ask(1):
            pass
        return self

    def accept(self, count, extra=()):
        """Put `count` rules in force, the routing rule last."""
        place = {'place': {'model': MODEL, 'version': VERSION}}
        route = {'route': {'service': SERVICE, 'version': VERSION}}
        wanted = [_rule('place', 'event', {'kind': 'placement'}, place)]
        wanted += [
            _rule(f'rule-{at}', 'request', {'account': f'acct-{at}'}, route)
            for at in (*range(count), *extra)
        ]
        wanted.append(_rule('route', 'request', {'service': SERVICE}, route))
        store = kvstore.HttpKeyValueStore(self.store)
        rule_set = rules.load_rule_set({'rules': wanted})
        configuration.Editor(store).apply(rule_set)

    def list_upstreams(self, count):
        """List both processes, and others that nobody asks or reaches."""
        listed = [
            instance_list.Listed(
                f'runner-{at}',
                SERVICE if at == 0 else 'other',
                'centre-1',
                'region-1',
                str(self.sidecar.address),
            )
            for at in range(count)
        ]
        listed[0] = attrs.evolve(
            listed[0], control_address=f'127.0.0.1:{self.ports[0]}'
        )
        front = instance_list.Listed(
            'entry-0',
            '',
            'centre-1',
            'region-1',
            '127.0.0.1:1',
            control_address=f'127.0.0.1:{self.ports[1]}',
            role='entry',
        )
        rows = [attrs.asdict(item) for item in (front, *listed)]
        _put(self.listing, '/instances', rows)

    def ask(self, pieces, account='capacity'):
        """Return whether a request of `pieces` pieces was answered."""
        body = {'model': MODEL, 'prompt': 'p', 'max_pieces': pieces}
        reply = httpio.exchange(
            self.entry.address,
            'POST',
            f'/{SERVICE}/generate',
            json.dumps(body).encode(),
            {headers.ACCOUNT: account},
        )
        return reply.status == 200


def _rule(name, subject, fields, then):
    return {'name': name, 'when': {subject: fields}, 'then': then}


def _put(address, path, value=None):
    reply = httpio.exchange(address, 'PUT', path, json.dumps(value).encode())
    assert reply.status == 200, (path, reply)
    return reply


def _usage(deployment):
    return [
        processes.usage(launched.popen.pid)
        for launched in (deployment.entry, deployment.sidecar)
    ]


def _cpu_per_request(deployment, pieces, requests=REQUESTS):
    """Return seconds of processor time a request, entry and sidecar."""
    before = _usage(deployment)
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
        done = list(executor.map(deployment.ask, [pieces] * requests))
    after = _usage(deployment)
    assert all(done)
    return [
        (late.cpu_s - early.cpu_s) / requests
        for early, late in zip(before, after, strict=True)
    ]


def _idle(deployment):
    """Return the share of a core used without traffic."""
    before = _usage(deployment)
    threading.Event().wait(IDLE_S)
    after = _usage(deployment)
    return [
        (late.cpu_s - early.cpu_s) / IDLE_S
        for early, late in zip(before, after, strict=True)
    ]


def _settle(deployment):
    """Wait until both processes are through with what has changed."""
    while True:
        before = _usage(deployment)
        threading.Event().wait(SETTLED_S)
        after = _usage(deployment)
        used = sum(
            late.cpu_s - early.cpu_s
            for early, late in zip(before, after, strict=True)
        )
        if used <= SETTLED_SHARE * SETTLED_S:
            return


def _cpu_per_change(deployment):
    """Return seconds of processor time for one accepted change."""
    before = _usage(deployment)
    for change in range(CHANGES):
        deployment.accept(MANY_RULES, extra=(f'new-{change}',))
        threading.Event().wait(CHANGE_EVERY_S)
    _settle(deployment)
    after = _usage(deployment)
    return [
        (late.cpu_s - early.cpu_s) / CHANGES
        for early, late in zip(before, after, strict=True)
    ]


def _rss(deployment):
    return [used.rss_bytes for used in _usage(deployment)]


def _bytes_per_stream(deployment):
    """Return resident bytes for each stream held open."""
    body = {'model': MODEL, 'prompt': 'p', 'max_pieces': 2_000_000}
    data = json.dumps(body).encode()
    before = _rss(deployment)
    with contextlib.ExitStack() as stack:
        for _ in range(STREAMS):
            pool = httpio.ConnectionPool()
            conn, _ = pool.acquire(deployment.entry.address)
            stack.callback(conn.close)
            conn.request('POST', f'/{SERVICE}/generate', data)
            # Reading only the head leaves the stream waiting for us.
            conn.getresponse().read1(1)
        after = _rss(deployment)
    return [
        (late - early) / STREAMS
        for early, late in zip(before, after, strict=True)
    ]


def _slope(many, few, steps):
    return [
        max(0.0, late - early) / steps
        for late, early in zip(many, few, strict=True)
    ]


def measure(deployment):
    """Return slopes by name, each a pair for entry and sidecar."""
    idle_rss = _rss(deployment)
    idle = _idle(deployment)
    _cpu_per_request(deployment, FEW_PIECES)
    few = _cpu_per_request(deployment, FEW_PIECES)
    many = _cpu_per_request(deployment, MANY_PIECES, requests=REQUESTS // 4)
    steps = MANY_PIECES - FEW_PIECES
    per_piece = _slope(many, few, steps)
    before_rules = _rss(deployment)
    deployment.accept(MANY_RULES)
    _settle(deployment)
    after_rules = _rss(deployment)
    per_rule = _slope(after_rules, before_rules, MANY_RULES - FEW_RULES)
    per_change = _cpu_per_change(deployment)
    after_rules = _rss(deployment)
    deployment.list_upstreams(MANY_UPSTREAMS)
    _settle(deployment)
    listed = _rss(deployment)
    upstream_steps = MANY_UPSTREAMS - FEW_UPSTREAMS
    per_listed = _slope(listed, after_rules, upstream_steps)
    idle_listed = _idle(deployment)
    deployment.list_upstreams(FEW_UPSTREAMS)
    per_stream = _bytes_per_stream(deployment)
    return {
        'idle_rss_bytes': idle_rss,
        'idle_cores': idle,
        'idle_cores_1000_listed': idle_listed,
        'cpu_s_per_change_of_1000_rules': per_change,
        'cpu_s_per_request': few,
        'cpu_s_per_piece': per_piece,
        'rss_bytes_per_rule': per_rule,
        'rss_bytes_per_listed_upstream': per_listed,
        'rss_bytes_per_open_stream': per_stream,
    }


def main():
    """Measure, print the table and keep it."""
    with launch.Launcher() as launcher:
        slopes = measure(Deployment.start(launcher))
    rows = [(name, f'{a:.4g}', f'{b:.4g}') for name, (a, b) in slopes.items()]
    report.print_table('Slopes', ['slope', 'entry', 'sidecar'], rows)
    report.write_result('capacity', slopes)


if __name__ == '__main__':
    main()
