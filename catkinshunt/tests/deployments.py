"""A small deployment for tests: entries and sidecars before stand-ins.

The stand-ins run in the test's own process, so that a test can bring about
their faults and look at what they have run. Entries and sidecars run there
too, or as processes of their own.
"""

import contextlib
import json
import threading
import time

import attrs

from catkinshunt import entry
from catkinshunt import httpio
from catkinshunt import settings
from catkinshunt import sidecar
from standins import instance_list
from standins import key_value
from standins import launch
from standins import plain

KEY = 'deployment-key-of-tests'
WAIT_S = 20.0
RULES = {
    'revision': 1,
    'rules': [
        {
            'name': 'route-desk',
            'when': {'request': {'service': 'order-desk'}},
            'then': {'route': {'service': 'order-desk'}},
        }
    ],
}


class GatedPlain(plain.PlainService):
    """A plain service whose answers can be held back.

    Attributes:
        before: a booking waits for this event before it runs.
        after: a booking waits for this event before its answer leaves.
        ran: set by each booking that has run.
    """

    def __init__(self):
        super().__init__()
        self.before = threading.Event()
        self.after = threading.Event()
        self.arrived = threading.Event()
        self.ran = threading.Event()
        self.before.set()
        self.after.set()

    def _book(self, call):
        self.arrived.set()
        self.before.wait(WAIT_S)
        resp = super()._book(call)
        self.ran.set()
        self.after.wait(WAIT_S)
        return resp


def wait_until(condition, what):
    """Wait until `condition()` is true."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f'never came: {what}')
        threading.Event().wait(0.02)


class Deployment(contextlib.ExitStack):
    """Stand-ins with `entries` entries and `sidecars` sidecars.

    Args:
        processes: run entries and sidecars as processes of their own.
        claims: settings of the entries' claims.
        deadline_s: deadline of requests.
        limits: settings of the entries' limits of memory and descriptors.
    """

    def __init__(
        self,
        entries=1,
        sidecars=1,
        processes=False,
        claims=None,
        deadline_s=10.0,
        limits=None,
    ):
        super().__init__()
        self.processes = processes
        self.store = key_value.KeyValueService()
        self.listing = instance_list.InstanceList()
        self.plains = [GatedPlain() for _ in range(sidecars)]
        store = self.serve(self.store.app)
        self.cfg = {
            'region': 'thessalia',
            'data_centre': 'larisa-a',
            'deployment_key': KEY,
            'platform': {
                'key_value': str(store),
                'instance_list': str(self.serve(self.listing.app)),
                'instance_list_period_s': 0.05,
            },
        }
        httpio.exchange(
            store,
            'PUT',
            '/kv/catkinshunt/configuration?expected=0',
            json.dumps(RULES).encode(),
        )
        if processes:
            self.launcher = self.enter_context(launch.Launcher())
        self.upstreams = [self.serve(item.app) for item in self.plains]
        self.sidecars = [
            self.start_sidecar(number, upstream)
            for number, upstream in enumerate(self.upstreams)
        ]
        self.list_sidecars(self.sidecars)
        claims = {'commit_timeout_s': 1.0} | (claims or {})
        self.entry_cfg = {'default_deadline_s': deadline_s, 'claims': claims}
        self.entry_cfg |= limits or {}
        self.entries = [self.start_entry(i) for i in range(entries)]

    def serve(self, app):
        """Serve `app` in this process; return its address."""
        server = self.enter_context(httpio.HttpServer(app, threads=32))
        return httpio.Address('127.0.0.1', server.port)

    def start_sidecar(self, number, upstream):
        """Start a sidecar before `upstream`; return it."""
        cfg = self.cfg | {
            'name': f'runner-{number}',
            'service': 'order-desk',
            'upstream': str(upstream),
        }
        if self.processes:
            return self.launcher.process(cfg['name'], 'sidecar', cfg)
        cfg = settings.structure(cfg, settings.SidecarSettings)
        return self.enter_context(sidecar.SidecarProcess(cfg))

    def list_sidecars(self, sidecars):
        """Make the instance list show `sidecars`."""
        self.listing.update(
            [
                attrs.asdict(
                    instance_list.Listed(
                        f'runner-{number}',
                        'order-desk',
                        'larisa-a',
                        'thessalia',
                        str(side.address),
                    )
                )
                for number, side in enumerate(sidecars)
            ]
        )

    def start_entry(self, number):
        """Start an entry and wait until it has its rules and list."""
        cfg = self.cfg | self.entry_cfg | {'name': f'entry-{number}'}
        if self.processes:
            front = self.launcher.process(cfg['name'], 'entry', cfg)
        else:
            cfg = settings.structure(cfg, settings.EntrySettings)
            front = self.enter_context(entry.EntryProcess(cfg))
        wait_until(lambda: self._serves(front), 'a serving entry')
        return front

    def _serves(self, front):
        return ask(front, 'GET', '/order-desk/stock').status == 200

    def runs(self, order):
        """Return how often the upstreams ran the booking `order`."""
        return sum(service.bookings[order] for service in self.plains)


@attrs.frozen
class Answer:
    """What a caller got.

    Attributes:
        status: HTTP status; 0 if the connection broke.
        value: the body read as JSON, or None.
    """

    status: int
    value: object

    @property
    def code(self):
        """Code of the error, or an empty text."""
        return self._error().get('code', '')

    @property
    def ran(self):
        """Whether it ran, as the error says; 'yes' for an answer."""
        return self._error().get('ran', 'yes')

    def _error(self):
        return (self.value or {}).get('error') or {}


def ask(front, method, path, body=None, headers=None):
    """Send one request to an entry; return the `Answer`."""
    reply = httpio.exchange(
        front.address, method, path, body, headers, timeout_s=WAIT_S
    )
    try:
        return Answer(reply.status, json.loads(reply.body))
    except ValueError:
        return Answer(reply.status, None)


def book(front, order, key=None, deadline_ms=10000):
    """Book `order` at an entry; return the `Answer`."""
    headers = {
        'Catkinshunt-Account': 'acme',
        'Content-Type': 'application/json',
        'Catkinshunt-Deadline-Ms': str(deadline_ms),
    }
    if key is not None:
        headers['Idempotency-Key'] = key
    body = json.dumps({'order': order}).encode()
    return ask(front, 'POST', '/order-desk/bookings', body, headers)
