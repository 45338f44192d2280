"""Tests of loading the version that the rules place."""

import contextlib
import json
import threading

import pytest

from catkinshunt import httpio
from catkinshunt import settings
from catkinshunt import sidecar
from catkinshunt.tests import deployments
from standins import engine
from standins import instance_list
from standins import key_value
from standins import origin

MODEL = 'drafts'
RULES = {
    'edits': [],
    'revision': 1,
    'rules': [
        {
            'name': 'place',
            'when': {'event': {'kind': 'placement'}},
            'then': {'place': {'model': MODEL, 'version': 'v1'}},
        }
    ],
}


def _serve(stack, app):
    server = stack.enter_context(httpio.HttpServer(app))
    return httpio.Address(server.host, server.port)


@pytest.fixture
def engine_and_sidecar():
    """Return an engine and its sidecar, with version v1 loaded."""
    stand_in = engine.Engine()
    source = origin.Origin(chunk_bytes=1024)
    source.publish(MODEL, 'v1', 10_000)
    with contextlib.ExitStack() as stack:
        store = _serve(stack, key_value.KeyValueService().app)
        httpio.exchange(
            store,
            'PUT',
            '/kv/catkinshunt/configuration?expected=0',
            json.dumps(RULES).encode(),
        )
        cfg = settings.SidecarSettings(
            name='runner-1',
            region='region-1',
            data_centre='centre-1',
            deployment_key=deployments.KEY,
            service='model-servers',
            upstream=str(_serve(stack, stand_in.app)),
            is_engine=True,
            platform=settings.PlatformSettings(
                key_value=str(store),
                instance_list=str(
                    _serve(stack, instance_list.InstanceList().app)
                ),
                origin=str(_serve(stack, source.app)),
            ),
        )
        process = stack.enter_context(sidecar.SidecarProcess(cfg))
        deployments.wait_until(
            lambda: process.report()['served'] == {MODEL: 'v1'}, 'placement'
        )
        yield stand_in, process


def test_restarted_engine_is_loaded_again(engine_and_sidecar):
    """The engine restarts without a model while its sidecar keeps running.

    Without a check of the engine its requests would be rejected until the
    next change of the rules.
    """
    stand_in, process = engine_and_sidecar
    stand_in.restart()
    deployments.wait_until(lambda: len(stand_in.orders) == 1, 'second order')
    deployments.wait_until(
        lambda: process.report()['served'] == {MODEL: 'v1'}, 'placement'
    )
    assert stand_in.orders[0]['version'] == 'v1'


def test_placement_continues_after_an_unexpected_exception(
    engine_and_sidecar, monkeypatch
):
    """A call raises an exception that is no `CatkinshuntError`.

    If it ended the placement thread, the instance would ignore every later
    rollout without an error.
    """
    stand_in, process = engine_and_sidecar
    engine_client = process._placement._engine
    report = engine_client.report
    raised = threading.Event()

    def raise_once():
        if raised.is_set():
            return report()
        raised.set()
        raise ZeroDivisionError('unexpected error')

    monkeypatch.setattr(engine_client, 'report', raise_once)
    assert raised.wait(deployments.WAIT_S)
    stand_in.restart()
    deployments.wait_until(lambda: len(stand_in.orders) == 1, 'second order')
