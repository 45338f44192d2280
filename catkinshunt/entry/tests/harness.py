"""An entry and sidecars in one process, connected by real sockets."""

import contextlib
import http.client
import json
import socket
import struct
import threading
import time

from catkinshunt import configuration
from catkinshunt import entry
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import instances
from catkinshunt import settings
from catkinshunt import sidecar

KEY = 'a key of this deployment'
MODEL, VERSION = 'drafts', 'v1'
BASE_SETTINGS = {
    'name': 'here',
    'region': 'thessalia',
    'data_centre': 'larisa-a',
    'deployment_key': KEY,
    'platform': {
        'key_value': '127.0.0.1:1',
        'instance_list': '127.0.0.1:1',
        'origin': '127.0.0.1:1',
    },
}


_EMPTY = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class Placement:
    """Replaces `sidecar._placement.Placement`."""

    def __init__(self):
        self.upstream_status = httpio.UpstreamStatus()
        self.served = {MODEL: VERSION}

    def report(self):
        """Return the versions that the engine serves."""
        return {'wanted': {}, 'served': self.served}


class AlwaysDispatch:
    """Replaces `AtMostOnce` for requests without an idempotency key."""

    def execute(self, req, dispatch, now, epoch_now):
        """Dispatch the request."""
        return dispatch()


class Directory:
    """Replaces `instances.Directory`."""

    def __init__(self):
        self.revision = 0
        self.instances = ()

    def add(self, name, service, address):
        """Add an upstream to the instance list."""
        listed = instances.Instance(
            name=name,
            role='upstream',
            service=service,
            data_centre='larisa-a',
            region='thessalia',
            address=address,
        )
        self.instances = (*self.instances, listed)
        self.revision += 1


class ScriptedUpstream:
    """Sends a scripted response on each connection, then closes it.

    Args:
        reply: the response bytes, or a function from a request to them.

    Attributes:
        reset_after_s: seconds after which the connection is reset instead;
            None to close it at once.
    """

    def __init__(self, reply):
        self.reply = reply
        self.reset_after_s = None
        self.requests = []
        self._sock = socket.create_server(('127.0.0.1', 0))
        self.address = httpio.Address(*self._sock.getsockname())
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()

    def _run(self):
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            with conn:
                request = _read_request(conn)
                if request.startswith(b'POST /cancel'):
                    conn.sendall(_EMPTY)
                    continue
                self.requests.append(request)
                reply = self.reply
                conn.sendall(reply(request) if callable(reply) else reply)
                if self.reset_after_s is not None:
                    time.sleep(self.reset_after_s)
                    linger = struct.pack('ii', 1, 0)
                    conn.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )

    def close(self):
        """Accept no more connections."""
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def _read_request(conn):
    data = b''
    while b'\r\n\r\n' not in data:
        data += conn.recv(65536)
    head, _, body = data.partition(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(value)
    while len(body) < length:
        body += conn.recv(65536)
    return head + b'\r\n\r\n' + body


def lines(*indices, pieces=None):
    """Return lines of a stream, with the end line if `pieces` is set."""
    values = [{'index': index, 'text': f't{index}'} for index in indices]
    if pieces is not None:
        values.append({'done': True, 'pieces': pieces})
    return b''.join(json.dumps(value).encode() + b'\n' for value in values)


def error_of(reply):
    """Return the error in the last line of a reply."""
    return json.loads(reply.body.splitlines()[-1])['error']


def texts(reply):
    """Return the texts of the pieces of a stream, and its last line."""
    found = [json.loads(line) for line in reply.body.splitlines()]
    return [line.get('text') for line in found[:-1]], found[-1]


def chunked(*pieces, end=True, version=VERSION):
    """Return a chunked HTTP response, truncated unless `end`."""
    head = (
        'HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n'
        f'Model-Version: {version}\r\nTransfer-Encoding: chunked\r\n\r\n'
    ).encode()
    body = b''.join(b'%x\r\n%s\r\n' % (len(each), each) for each in pieces)
    return head + body + (b'0\r\n\r\n' if end else b'')


class Harness(contextlib.ExitStack):
    """An entry and its sidecars, closed together."""

    def __init__(self, **routes):
        super().__init__()
        self.directory = Directory()
        self.apps = {}
        self.servers = {}
        document = {
            'rules': [
                {
                    'name': f'to-{service}',
                    'when': {'request': {'service': service}},
                    'then': {'route': {'service': service} | route},
                }
                for service, route in routes.items()
            ]
        }
        steps = [
            configuration.Add(rule, position)
            for position, rule in enumerate(document['rules'])
        ]
        config_replica = configuration.ConfigurationReplica()
        config_replica.offer(
            configuration.EMPTY.edited('first', steps), now=0.0
        )
        cfg = settings.structure(BASE_SETTINGS, settings.EntrySettings)
        self.entry_app = entry.EntryApp(
            cfg, config_replica, self.directory, AlwaysDispatch()
        )
        self.entry = self.enter_context(
            httpio.HttpServer(self.entry_app, threads=32)
        )

    def upstream(self, name, service, address, is_engine=False, **overrides):
        """Start a sidecar for the upstream at `address`, and list it."""
        cfg = BASE_SETTINGS | {
            'name': name,
            'service': service,
            'upstream': str(address),
            'is_engine': is_engine,
            # Required with `is_engine`; nothing listens on it here.
            'port': 8080,
        }
        cfg = settings.structure(cfg | overrides, settings.SidecarSettings)
        app = sidecar.SidecarApp(cfg, Placement())
        server = self.enter_context(httpio.HttpServer(app, threads=32))
        self.apps[name] = app
        self.servers[name] = server
        address = httpio.Address(server.host, server.port)
        self.directory.add(name, service, address)
        return app

    def scripted(self, name, service, reply, is_engine=False, **overrides):
        """Start a sidecar for a `ScriptedUpstream`, and list it."""
        upstream = ScriptedUpstream(reply)
        self.callback(upstream.close)
        self.upstream(name, service, upstream.address, is_engine, **overrides)
        return upstream

    def send(
        self, path, value=None, method=None, deadline_s=20, **extra_headers
    ):
        """Send one request to the entry; return its `httpio.Reply`."""
        request_headers = {
            headers.DEADLINE_MS: str(int(deadline_s * 1000))
        } | extra_headers
        body = None if value is None else json.dumps(value).encode()
        return httpio.exchange(
            httpio.Address(self.entry.host, self.entry.port),
            method or ('GET' if value is None else 'POST'),
            path,
            body,
            request_headers,
            timeout_s=20.0,
        )

    def generate_broken(self, count):
        """Send a generate request; return the truncated response body."""
        conn = http.client.HTTPConnection(self.entry.host, self.entry.port)
        generate_body = {'model': MODEL, 'prompt': 'bend', 'max_pieces': count}
        got = b''
        try:
            conn.request('POST', '/models/generate', json.dumps(generate_body))
            resp = conn.getresponse()
            while piece := resp.read1():
                got += piece
        except (http.client.IncompleteRead, ConnectionError):
            return got
        finally:
            conn.close()
        raise AssertionError(f'response ended properly: {got!r}')

    def generate(self, count, prompt='bend', **options):
        """Request `count` pieces from the model; return the reply."""
        value = {'model': MODEL, 'prompt': prompt, 'max_pieces': count}
        return self.send('/models/generate', value, **options)
