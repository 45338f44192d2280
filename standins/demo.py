"""Shows the whole path: one model and one request, end to end."""

import json
import sys
import time

import attrs

from catkinshunt import httpio
from standins import engine
from standins import instance_list
from standins import launch

MODEL = 'setup-drafts'
VERSION = 'v1'
KEY = 'demo-deployment-key'
ANSWER_TIMEOUT_S = 20.0
RULES = {
    'revision': 1,
    'rules': [
        {
            'name': 'place-drafts',
            'when': {'event': {'kind': 'placement'}},
            'then': {'place': {'model': MODEL, 'version': VERSION}},
        },
        {
            'name': 'route-drafts',
            'when': {'request': {'service': 'model-servers'}},
            'then': {
                'route': {'service': 'model-servers', 'version': VERSION}
            },
        },
    ],
}


def put(address, path, value):
    """Send `value` as JSON with PUT."""
    reply = httpio.exchange(address, 'PUT', path, json.dumps(value).encode())
    if reply.status != 200:
        raise RuntimeError(f'PUT {path}: status {reply.status}')


def run():
    """Run the demo; return 0 when the whole answer came."""
    with launch.Launcher() as launcher:
        print('Starting the stand-ins.')
        store = launcher.standin('key-value', 'key-value').address
        listing = launcher.standin('instance-list', 'instance-list').address
        origin = launcher.standin('origin', 'origin').address
        upstream = launcher.standin('engine', 'engine').address
        put(origin, f'/models/{MODEL}/{VERSION}?size_bytes=4000000', None)
        put(store, '/kv/catkinshunt/configuration?expected=0', RULES)
        print('Starting a sidecar and an entry.')
        cfg = {
            'region': 'thessalia',
            'data_centre': 'larisa-a',
            'deployment_key': KEY,
            'platform': {
                'key_value': str(store),
                'instance_list': str(listing),
                'origin': str(origin),
            },
        }
        side = launcher.process(
            'runner-1',
            'sidecar',
            cfg
            | {
                'name': 'runner-1',
                'service': 'model-servers',
                'upstream': str(upstream),
                'is_engine': True,
            },
        )
        listed = instance_list.Listed(
            'runner-1',
            'model-servers',
            'larisa-a',
            'thessalia',
            str(side.address),
        )
        put(listing, '/instances', [attrs.asdict(listed)])
        front = launcher.process('entry-1', 'entry', cfg | {'name': 'entry-1'})
        print('Asking the model.')
        return _ask(front.address)


def _ask(address):
    body = {'model': MODEL, 'prompt': 'bend fault', 'max_pieces': 5}
    expected = engine.answer_pieces(MODEL, VERSION, body['prompt'], 5)
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while time.monotonic() < deadline:
        reply = httpio.exchange(
            address,
            'POST',
            '/model-servers/generate',
            json.dumps(body).encode(),
        )
        if reply.status == 200:
            break
        time.sleep(0.2)
    lines = [json.loads(line) for line in reply.body.splitlines()]
    print(reply.body.decode())
    whole = [line.get('text') for line in lines[:-1]] == expected
    print('The whole answer came.' if whole else 'WRONG')
    return 0 if whole else 1


if __name__ == '__main__':
    sys.exit(run())
