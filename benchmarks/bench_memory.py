"""Resident memory of each role, idle and scraped, and of each import.

The platform is unreachable, so nothing but the process itself is measured.
"""

import subprocess
import sys

from benchmarks import processes
from benchmarks import report
from catkinshunt import httpio
from standins import launch

_MIB = 1 << 20
#: Limit of control for each node at the target size.
LIMIT_MIB = 32
SCRAPES = 3
#: Over an interpreter that has loaded nothing.
MAX_RATIO = 4.5
#: In the order in which a process comes to them.
IMPORTS = (
    'json',
    'threading',
    'hashlib',
    'attrs',
    'ssl',
    'http.client',
    'waitress',
    'asyncio',
    'loguru',
    'hdrh.histogram',
    'h2.connection',
    'grpclib.client',
    'grpclib.server',
    'google.protobuf.descriptor_pb2',
    'json5',
    'cattrs',
    'fire',
    'prometheus_client',
)
_IMPORT_CODE = """
import importlib, sys
def rss_kib():
    for line in open('/proc/self/status'):
        if line.startswith('VmRSS'):
            return int(line.split()[1])
last = rss_kib()
print('(interpreter)', last, len(sys.modules))
for name in sys.argv[1:]:
    importlib.import_module(name)
    now = rss_kib()
    print(name, now - last, len(sys.modules))
    last = now
"""
_CFG = {
    'region': 'Thessalia',
    'data_centre': 'larisa-a',
    'deployment_key': 'the key of this deployment',
    'platform': {
        'key_value': '127.0.0.1:1',
        'instance_list': '127.0.0.1:1',
        'origin': '127.0.0.1:1',
    },
}
_SIDECAR = {
    'service': 'model-servers',
    'upstream': '127.0.0.1:1',
    'is_engine': True,
    'port': launch.free_ports(1)[0],
}


def import_costs():
    """Return (name, KiB more, modules loaded) for each import in turn."""
    done = subprocess.run(
        [sys.executable, '-c', _IMPORT_CODE, *IMPORTS],
        check=True,
        capture_output=True,
        text=True,
    )
    rows = [line.split() for line in done.stdout.splitlines()]
    return [(name, int(kib), int(count)) for name, kib, count in rows]


def role_memory(role, extra):
    """Return the role's resident MiB, idle and scraped, and its threads."""
    [port] = launch.free_ports(1)
    cfg = _CFG | extra | {'name': role, 'operator_port': port}
    with launch.Launcher() as launcher:
        launched = launcher.process(role, role, cfg)
        idle = processes.usage(launched.popen.pid)
        for _ in range(SCRAPES):
            httpio.exchange(
                httpio.Address('127.0.0.1', port), 'GET', '/metrics'
            )
        scraped = processes.usage(launched.popen.pid)
    return idle.rss_bytes / _MIB, scraped.rss_bytes / _MIB, idle.threads


def bench_memory():
    """Measure imports and roles; fail where a role has grown."""
    costs = import_costs()
    report.print_table(
        'Imports, one after another', ('import', 'KiB more', 'modules'), costs
    )
    bare_mib = costs[0][1] / 1024
    rows = []
    ratios = {}
    for role, extra in (('entry', {}), ('sidecar', _SIDECAR)):
        idle, scraped, threads = role_memory(role, extra)
        rows.append((role, idle, scraped, threads, scraped - LIMIT_MIB))
        ratios[role] = round(scraped / bare_mib, 3)
    report.print_table(
        'Roles',
        (
            'role',
            'idle MiB',
            'scraped MiB',
            'threads',
            f'over {LIMIT_MIB} MiB',
        ),
        rows,
    )
    report.write_result('memory', {'over_bare_interpreter': ratios})
    report.check_bounds(
        *(
            report.Bound(f'{role} over interpreter', ratio, at_most=MAX_RATIO)
            for role, ratio in ratios.items()
        )
    )


if __name__ == '__main__':
    bench_memory()
