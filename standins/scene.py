"""A deployment on one machine: stand-ins, processes, links between them."""

import collections
import concurrent.futures
import itertools
import json
import signal
import threading

import attrs

from catkinshunt import httpio
from standins import instance_list
from standins import launch

KEY = 'the key of the demo deployment'
LIST_LAG_S = 1.0
_PARALLEL_STARTS = 8
_TIMEOUT_S = 30.0
PIECE_S = 0.01
BOOKING_S = 0.01


@attrs.frozen
class Runner:
    """An upstream with the sidecar beside it."""

    name: str
    service: str
    upstream: launch.Launched
    sidecar: launch.Launched


class Scene:
    """Starts and stops everything of one deployment.

    Args:
        deployed: a `deployment.Deployment`.
        launcher: a `launch.Launcher`.
    """

    def __init__(self, deployed, launcher):
        self.deployed = deployed
        self.launcher = launcher
        self.runners = {}
        self.entries = {}
        self.listed = {}
        self._numbers = collections.defaultdict(itertools.count)
        #: Held while the list is sent, so that a newer one is sent later.
        self._list_lock = threading.Lock()

    def start(self):
        """Start the platform, then the instances side by side."""
        deployed = self.deployed
        self.store = self._standin('key-value')
        self.listing = self._standin('instance-list', lag_s=LIST_LAG_S)
        self.origin = self._standin(
            'origin', rate_bytes_per_s=deployed.origin_bytes_per_s
        )
        self.links = self._standin('links')
        with concurrent.futures.ThreadPoolExecutor(_PARALLEL_STARTS) as pool:
            futs = [
                pool.submit(self.add_runner, service)
                for service in deployed.services
                for _ in range(service.runners)
            ]
            futs += [
                pool.submit(self._add_entry) for _ in range(deployed.entries)
            ]
            for fut in futs:
                fut.result()
        return self

    def add_runner(self, service):
        """Start an upstream of `service` and its sidecar; list them."""
        is_engine = service is self.deployed.model_service
        name = f'{service.name}-{next(self._numbers[service.name])}'
        if is_engine:
            upstream = self._standin('engine', f'{name}/up', piece_s=PIECE_S)
        else:
            upstream = self._standin('plain', f'{name}/up', work_s=BOOKING_S)
        [port] = launch.free_ports(1)
        cfg = self._settings(name) | {
            'port': port,
            'service': service.name,
            'upstream': str(upstream.address),
            'is_engine': is_engine,
            'link_bytes_per_s': self.deployed.link_bytes_per_s,
        }
        sidecar = self.launcher.process(name, 'sidecar', cfg)
        self.runners[name] = Runner(name, service.name, upstream, sidecar)
        self._list(name, 'upstream', service.name, cfg, sidecar.address)

    def kill_runner(self):
        """Kill an engine and its sidecar; return the name."""
        service = self.deployed.model_service.name
        name = next(n for n, r in self.runners.items() if r.service == service)
        runner = self.runners.pop(name)
        for launched in (runner.sidecar, runner.upstream):
            launched.popen.send_signal(signal.SIGKILL)
        self._cut_off(name)
        return name

    def kill_entry(self):
        """Kill an entry; return its name."""
        name, launched = self.entries.popitem()
        launched.popen.send_signal(signal.SIGKILL)
        self._cut_off(name)
        return name

    def addresses(self):
        """Return the addresses that callers may use."""
        return [entry.address for entry in self.entries.values()]

    def stop_key_value(self, down):
        """Begin or end an outage of the key-value service."""
        self.ask(self.store, 'POST', '/faults', {'down': down})

    def publish(self, version):
        """Put new weights on the origin."""
        size = self.deployed.model_bytes
        path = f'/models/{self.deployed.model}/{version}?size_bytes={size}'
        self.ask(self.origin, 'PUT', path)

    def replicas(self, version):
        """Return how many engines serve `version` of the model."""
        model = self.deployed.model
        states = [
            self.ask(runner.upstream, 'GET', '/state')
            for runner in self.model_runners()
        ]
        return sum(state['models'].get(model) == version for state in states)

    def model_runners(self):
        """Return the runners of the model."""
        service = self.deployed.model_service.name
        runners = list(self.runners.values())
        return [runner for runner in runners if runner.service == service]

    def bookings(self):
        """Return how often each order was booked, over all runners."""
        service = self.deployed.booking_service.name
        total = collections.Counter()
        for runner in self.runners.values():
            if runner.service == service:
                total.update(self.ask(runner.upstream, 'GET', '/bookings'))
        return total

    def origin_bytes(self):
        """Return the bytes that the origin has sent."""
        return self.ask(self.origin, 'GET', '/stats')['bytes_sent']

    def link_bytes(self):
        """Return the bytes out of each instance so far, by name."""
        stats = self.ask(self.links, 'GET', '/stats')
        return {name: value['out'] for name, value in stats.items()}

    def ask(self, launched, method, path, value=None):
        """Call a stand-in; return its answer read as JSON, or None."""
        body = None if value is None else json.dumps(value).encode()
        reply = httpio.exchange(
            launched.address, method, path, body, timeout_s=_TIMEOUT_S
        )
        if reply.status != 200:
            raise RuntimeError(f'{method} {path}: status {reply.status}')
        return json.loads(reply.body) if reply.body else None

    def _standin(self, kind, name=None, **options):
        return self.launcher.standin(name or kind, kind, **options)

    def _add_entry(self):
        name = f'entry-{next(self._numbers["entry"])}'
        cfg = self._settings(name)
        launched = self.launcher.process(name, 'entry', cfg)
        address = self._list(name, 'entry', '', cfg, launched.address)
        self.entries[name] = attrs.evolve(launched, address=address)

    def _settings(self, name):
        places = self.deployed.places
        place = places[next(self._numbers['place']) % len(places)]
        control_port, operator_port = launch.free_ports(2)
        return {
            'name': name,
            'data_centre': place.data_centre,
            'region': place.region,
            'deployment_key': KEY,
            'control_port': control_port,
            'operator_port': operator_port,
            'platform': {
                'key_value': str(self.store.address),
                'instance_list': str(self.listing.address),
                'origin': str(self.origin.address),
            },
        }

    def _list(self, name, role, service, cfg, address):
        """Put a link before the instance and show it on the list."""
        deployed = self.deployed
        delay_ms = deployed.between_regions_ms
        rate = deployed.link_bytes_per_s
        if role == 'entry':
            delay_ms, rate = deployed.to_callers_ms, None
        value = {
            'target': str(address),
            'delay_s': delay_ms / 1000,
            'rate_bytes_per_s': rate,
        }
        link = self.ask(self.links, 'PUT', f'/links/{name}', value)
        through = httpio.Address(address.host, link['port'])
        self.listed[name] = instance_list.Listed(
            name=name,
            service=service,
            data_centre=cfg['data_centre'],
            region=cfg['region'],
            address=str(through),
            control_address=f'127.0.0.1:{cfg["control_port"]}',
            operator_address=f'127.0.0.1:{cfg["operator_port"]}',
            role=role,
        )
        self._show_list()
        return through

    def _cut_off(self, name):
        """Close the link of a dead instance; the list shows it later."""
        self.ask(self.links, 'DELETE', f'/links/{name}')
        del self.listed[name]
        self._show_list()

    def _show_list(self):
        with self._list_lock:
            listed = list(self.listed.values())
            shown = [attrs.asdict(item) for item in listed]
            self.ask(self.listing, 'PUT', '/instances', shown)
