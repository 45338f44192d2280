"""Runs one stand-in: ``python -m standins KIND [--port=0] [options]``."""

import sys
import threading

import fire

from catkinshunt import httpio
from standins import engine
from standins import instance_list
from standins import key_value
from standins import links
from standins import origin
from standins import plain

_KINDS = {
    'engine': engine.Engine,
    'instance-list': instance_list.InstanceList,
    'key-value': key_value.KeyValueService,
    'links': links.Links,
    'origin': origin.Origin,
    'plain': plain.PlainService,
}


def run(kind, host='127.0.0.1', port=0, threads=64, **options):
    """Serve one stand-in; the first line printed is its address."""
    standin = _KINDS[kind](**options)
    server = httpio.HttpServer(
        standin.app, host=host, port=port, threads=threads
    ).start()
    print(f'{host}:{server.port}', flush=True)
    threading.Event().wait()


if __name__ == '__main__':
    sys.exit(fire.Fire(run))
