"""The examples are good settings and acceptable rules."""

import pathlib

import pytest

from catkinshunt.cli import _main
from catkinshunt import rules
from catkinshunt import settings
from standins import deployment
from standins import experiment

FOLDER = pathlib.Path(__file__).parent.parent


@pytest.mark.parametrize('name', deployment.NAMES)
def test_settings_are_good(name, capsys):
    files = [
        str(FOLDER / name / f'{kind}.json5')
        for kind in ('entry', 'sidecar', 'operators')
    ]
    assert _main.run(['check-settings', *files]) == 0


@pytest.mark.parametrize('name', deployment.NAMES)
def test_rules_are_accepted(name):
    operators = settings.load_settings(
        str(FOLDER / name / 'operators.json5'), settings.OperatorSettings
    )
    document = settings.load_document(str(FOLDER / name / 'rules.json5'))
    rule_set = rules.load_rule_set(document, operators.services)
    assert len(rule_set.rules) == 5


@pytest.mark.parametrize('name', deployment.NAMES)
def test_deployment_names_its_services(name):
    deployed = deployment.load(name)
    operators = settings.load_settings(
        str(FOLDER / name / 'operators.json5'), settings.OperatorSettings
    )
    names = [service.name for service in deployed.services]
    assert names == operators.services
    placed = deployed.rules('v2')['rules'][0]['then']['place']
    assert (placed['model'], placed['version']) == (deployed.model, 'v2')


@pytest.mark.parametrize('name', ['burst', 'slow-engines'])
def test_experiments_are_good(name):
    cfg = settings.load_settings(
        str(FOLDER / 'experiments' / f'{name}.json'),
        experiment.ExperimentSettings,
    )
    assert (cfg.slow_engines is not None) == (name == 'slow-engines')
