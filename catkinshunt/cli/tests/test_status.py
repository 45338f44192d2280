"""Tests of the operators' view of all instances."""

import json

import pytest

from catkinshunt.cli import _main
from catkinshunt import httpio
from catkinshunt import metrics

MODEL = {'setup-drafts': 'v2'}


@pytest.fixture
def deployment(tmp_path):
    """Run a list and two instances; give settings and their states."""
    states = [
        {'state': 'serving', 'revision': 4, 'wanted': MODEL, 'served': {}}
        for _ in range(2)
    ]
    listed = []

    def serve_list(_environ, start_response):
        value = {'revision': 1, 'instances': listed}
        return httpio.Response.of_json(200, value).send(start_response)

    with httpio.HttpServer(serve_list, threads=1) as server:
        apps = [
            metrics.OperatorsApp(metrics.Registry(), bool, lambda s=state: s)
            for state in states
        ]
        servers = [httpio.HttpServer(app, threads=1).start() for app in apps]
        for index, own in enumerate(servers):
            listed.append(
                {
                    'name': f'runner-{index}',
                    'service': 'model-servers',
                    'data_centre': 'larisa-a',
                    'state': 'live',
                    'address': '127.0.0.1:1',
                    'operator_address': f'127.0.0.1:{own.port}',
                }
            )
        address = f'127.0.0.1:{server.port}'
        platform = {'key_value': '127.0.0.1:1', 'instance_list': address}
        path = tmp_path / 'operators.json5'
        path.write_text(json.dumps({'platform': platform, 'operator_port': 1}))
        yield f'--settings={path}', states, listed
        for own in servers:
            own.stop()


def test_watch_ends_when_every_replica_serves(deployment, capsys):
    settings, states, _ = deployment
    states[0]['served'] = MODEL
    assert _main.run(['status', settings]) == 0
    assert 'setup-drafts@v2: 1 of 2 replicas' in capsys.readouterr().out
    states[1]['served'] = MODEL
    assert _main.run(['status', settings, '--watch']) == 0
    out = capsys.readouterr().out
    assert 'setup-drafts@v2: 2 of 2 replicas' in out
    assert out.count('serving') == 2


def test_silent_instance_is_shown(deployment, capsys):
    """An instance has died, and the lagging list still shows it.

    Left out of the table, the rollout would look complete.
    """
    settings, _, listed = deployment
    listed[1] = listed[1] | {'operator_address': '127.0.0.1:1'}
    assert _main.run(['status', settings]) == 0
    out = capsys.readouterr().out
    assert 'live (no answer)' in out
    assert '1 of 2 instances gave no answer' in out
