"""Starts the two programs beside the stand-ins, as a small deployment."""

import asyncio
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from review.stage2 import http
from review.stage2 import store

ROOT = pathlib.Path(__file__).parents[2]
FRONT, READY, APP, ORIGIN, STORE = 8005, 8002, 8001, 8006, 8007
ZONES = ('larisa-a', 'piraeus-a')
#: Bounds of the site kampsi-fleet, of its page and of DEPLOY.md.
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_ms': 2000,
    'rollback_slack_ms': 250,
    'stretch_ms': 5000,
    'strict_revoke': 'true',
    'revoke_ms': 5000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 100,
    'recovery_s': 12,
    'event_delay_ms': 120,
    'retry_after_s': 0,
    'version_ms': 8000,
    'version_all_ms': 0,
}


class Site:
    """Processes, their addresses, and a record of what happens.

    Args:
        folder: temporary folder for settings and logs.
        record: path of the record.
    """

    def __init__(self, folder, record):
        self.folder = pathlib.Path(folder)
        self.record = open(record, 'w', encoding='utf-8')
        self.store = store.Store()
        self.began = time.monotonic()
        self.processes = {}
        self.servers = []
        self._last = 0
        self._network = None

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def note(self, text):
        """Write one line into the record."""
        self.record.write(f'{self.now():8.3f} {text}\n')
        self.record.flush()

    async def start(self):
        """Serve the store on a free network of loopback addresses."""
        for _ in range(50):
            self._network = f'127.{random.randint(20, 250)}'
            self._network += f'.{random.randint(1, 250)}'
            self.base = self.new_host()
            try:
                self.store_server = await self.serve(
                    self.store.handle, self.base, STORE
                )
            except OSError:
                continue
            return
        raise OSError('no free addresses')

    def new_host(self):
        """Return the address of another machine."""
        self._last += 1
        return f'{self._network}.{self._last}'

    async def serve(self, handler, host, port):
        """Serve a stand-in until the end."""
        server = await http.Server(handler).start(host, port)
        self.servers.append(server)
        return server

    async def move_store(self, host):
        """Serve the store at another address; write it into all settings."""
        await self.serve(self.store.handle, host, STORE)
        old, new = f'{self.base}:{STORE}', f'{host}:{STORE}'
        for _, path, _ in self.processes.values():
            path.write_text(path.read_text().replace(old, new))
        self.store_server.crash()
        self.note(f'the store has moved from {old} to {new}')

    def add(self, name, role, host, service=''):
        """Start a program on a machine of its own."""
        zone = ZONES[len(self.processes) % len(ZONES)]
        path = self.folder / f'{name}.toml'
        path.write_text(_settings(name, role, host, zone, self.base, service))
        self.processes[name] = (role, path, None)
        self.launch(name)

    def launch(self, name):
        """Start a program, again after its end."""
        role, path, _ = self.processes[name]
        words = ['catkinshunt.platform', role]
        popen = self._start(name, words, {'CATKINSHUNT_CONFIG': str(path)})
        self.processes[name] = (role, path, popen)

    def add_stand_in(self, name, module, *args):
        """Start a stand-in as a process of its own."""
        popen = self._start(name, [f'review.stage2.{module}', *args], {})
        self.processes[name] = (module, None, popen)

    def _start(self, name, words, variables):
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(self.folder / f'{name}.log', 'ab') as log:
            popen = subprocess.Popen(
                [sys.executable, '-m', *words],
                cwd=ROOT,
                env={**env, **variables},
                stdout=log,
                stderr=log,
            )
        self.note(f'process {name} starts')
        return popen

    def log_of(self, name):
        """Return what a process has written."""
        path = self.folder / f'{name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def send(self, name, number):
        """Send a signal to a program."""
        popen = self.processes[name][2]
        if popen.poll() is None:
            popen.send_signal(number)
            self.note(f'process {name} gets signal {number}')

    async def until_ready(self, host, wait_s=20.0):
        """Wait until an entry says that it is ready."""
        data = http.dump('GET /-/readyz HTTP/1.1', [('Host', host)])
        async with asyncio.timeout(wait_s):
            while True:
                found = await http.ask(host, READY, data, 0.5)
                if found is not None and found.status == 200:
                    return
                await asyncio.sleep(0.1)

    def end(self):
        """End all programs and stand-ins."""
        for _, _, popen in self.processes.values():
            if popen is not None and popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
                popen.wait()
        for server in self.servers:
            server.close()
        self.record.close()


def _settings(name, role, host, zone, base, service):
    kind = 'edge' if role == 'entry' else 'side'
    lines = [
        f'node_name = "{name}"',
        f'role = "{role}"',
        f'machine_class = "{kind}"',
        f'serves = ["{kind}"]',
        f'ip = "{host}"',
        f'zone = "{zone}"',
        'region = "thessalia"',
        'port_range = [7700, 7715]',
        f'seeds = ["{host}:8000"]',
        'bootstrap = true',
        'loss_counts = false',
        'discovery = "platform"',
        'entry = "vip"',
        'heartbeat_ms = 1200',
    ]
    if role == 'sidecar':
        lines += [f'app = "{host}:{APP}"', f'service = "{service}"']
    lines += ['[zones]', *(f'{each} = "thessalia"' for each in ZONES)]
    lines.append('[listen]')
    if role == 'entry':
        lines.append(f'frontend = "{host}:{FRONT}"')
        lines.append(f'ready = "{host}:{READY}"')
    lines += ['[limits]', 'cpu_share = 0.817', 'cores = 1']
    lines += ['memory_mb = 300', 'max_fds = 1024', 'link_mbps = 100.0']
    lines.append('[bounds]')
    lines += [f'{key} = {value}' for key, value in BOUNDS.items()]
    lines += ['[platform]', f'address = "{base}:{STORE}"', 'form = "kv"']
    lines += ['writes_per_s = 400', 'reads_per_s = 2000', 'history_s = 20']
    lines += ['value_bytes = 1048576', 'ttl_min_ms = 1000']
    return '\n'.join(lines) + '\n'


async def run(play, record):
    """Run a case in a temporary folder; return its exit status.

    Args:
        play: coroutine function of a `Site` that returns whether the rule
            was broken.
        record: path of the record.
    """
    with tempfile.TemporaryDirectory(prefix='review-') as folder:
        place = Site(folder, record)
        try:
            await place.start()
            async with asyncio.timeout(110):
                broken = await play(place)
        except (OSError, TimeoutError) as exc:
            place.note(f'could not run: {exc!r}')
            return 2
        finally:
            place.end()
    return 1 if broken else 0
