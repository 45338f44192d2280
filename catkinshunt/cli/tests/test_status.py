"""Tests of the status command."""

import json

import pytest

from catkinshunt.cli import _main
from catkinshunt.cli import _status
from catkinshunt import configuration
from catkinshunt import httpio
from catkinshunt import kvstore
from catkinshunt import metrics
from standins import key_value

MODEL = {'setup-drafts': 'v2'}


@pytest.fixture
def deployment(tmp_path):
    """Run a list and two instances; yield settings and their states."""
    states = [
        {'state': 'serving', 'revision': 4, 'wanted': MODEL, 'served': {}}
        for _ in range(2)
    ]
    listed = []

    def serve_list(_environ, start_response):
        value = {'revision': 1, 'instances': listed}
        return httpio.Response.of_json(200, value).send(start_response)

    service = key_value.KeyValueService()
    with (
        httpio.HttpServer(serve_list, threads=1) as server,
        httpio.HttpServer(service.app, threads=1) as store,
    ):
        apps = [
            metrics.OperatorApp(metrics.Registry(), bool, lambda s=state: s)
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
        service.address = httpio.Address('127.0.0.1', store.port)
        address = f'127.0.0.1:{server.port}'
        platform = {
            'key_value': f'127.0.0.1:{store.port}',
            'instance_list': address,
        }
        path = tmp_path / 'operators.json5'
        path.write_text(json.dumps({'platform': platform, 'operator_port': 1}))
        yield f'--settings={path}', states, listed, service
        for own in servers:
            own.stop()


def test_watch_ends_when_every_replica_serves(deployment, capsys):
    settings, states, *_ = deployment
    states[0]['served'] = MODEL
    assert _main.run(['status', settings]) == 0
    assert 'setup-drafts@v2: 1 of 2 replicas' in capsys.readouterr().out
    states[1]['served'] = MODEL
    assert _main.run(['status', settings, '--watch']) == 0
    out = capsys.readouterr().out
    assert 'setup-drafts@v2: 2 of 2 replicas' in out
    assert out.count('serving') == 2


def test_unresponsive_instance_is_shown(deployment, capsys):
    """An instance crashed, but is still in the platform's list.

    Without its row the rollout would look complete.
    """
    settings, _, listed, _ = deployment
    listed[1] = listed[1] | {'operator_address': '127.0.0.1:1'}
    assert _main.run(['status', settings]) == 0
    out = capsys.readouterr().out
    assert 'live (no answer)' in out
    assert '1 of 2 instances gave no answer' in out


def test_older_rules_do_not_look_like_a_finished_rollout(deployment, capsys):
    """An operator places a new version and watches its rollout.

    An instance without the new rules serves all that the older rules place
    there, so the watch would end before the rollout began.
    """
    settings, states, _, service = deployment
    accepted = {'revision': 5, 'rules': []}
    store = kvstore.HttpKeyValueStore(service.address)
    store.put(configuration.KEY, json.dumps(accepted).encode(), 0)
    for state in states:
        state['served'] = MODEL
    states[1]['revision'] = 5
    shown = iter(states)

    def learn(_seconds):
        next(shown)['revision'] = 5

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_status.time, 'sleep', learn)
        assert _main.run(['status', settings, '--watch']) == 0
    out = capsys.readouterr().out
    assert 'revision 5: in force at 1 of 2 instances' in out
    assert out.splitlines()[-2].startswith('revision 5: in force at 2 of 2')
