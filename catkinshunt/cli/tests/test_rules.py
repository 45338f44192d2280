"""Tests of the commands that show and edit rules."""

import json

import pytest

from catkinshunt.cli import _main
from catkinshunt import httpio
from standins import key_value

PLACE = {
    'name': 'place-drafts',
    'when': {'event': {'kind': 'placement'}},
    'then': {'place': {'model': 'drafts', 'version': 'v1'}},
}
ROUTE = {
    'name': 'route-drafts',
    'when': {'request': {'service': 'model-servers', 'account': 'press-7'}},
    'then': {'route': {'service': 'model-servers'}},
}


@pytest.fixture
def service():
    standin = key_value.KeyValueService()
    with httpio.HttpServer(standin.app, threads=4) as server:
        standin.port = server.port
        yield standin


@pytest.fixture
def rules(service, tmp_path, capsys):
    """Return a function that runs one ``rules`` command."""
    platform = {
        'key_value': f'127.0.0.1:{service.port}',
        'instance_list': '127.0.0.1:1',
    }
    settings = tmp_path / 'operators.json5'
    settings.write_text(json.dumps({'platform': platform}))

    def run(verb, *args):
        words = []
        for arg in args:
            if isinstance(arg, dict):
                path = tmp_path / 'given.json5'
                path.write_text('// from version control\n' + json.dumps(arg))
                arg = str(path)
            words.append(arg)
        code = _main.run(['rules', verb, *words, f'--settings={settings}'])
        captured = capsys.readouterr()
        return code, captured.out + captured.err

    return run


def test_edits_print_the_revision(rules):
    assert rules('add', PLACE) == (0, 'accepted revision 1\n')
    assert rules('add', ROUTE) == (0, 'accepted revision 2\n')
    assert rules('move', 'route-drafts', '0')[0] == 0
    code, out = rules('list')
    assert [line.split()[:2] for line in out.splitlines()] == [
        ['revision', '3'],
        ['0', 'route-drafts'],
        ['1', 'place-drafts'],
    ]
    assert rules('retire', 'place-drafts') == (0, 'accepted revision 4\n')


def test_conflict_names_what_changed(rules):
    """Two operators edit the rules of the same revision.

    The second must not revert the first edit unknowingly, and needs to see
    what it changed.
    """
    rules('add', PLACE)
    rules('add', ROUTE, '--revision=1')
    code, out = rules('retire', 'place-drafts', '--revision=1')
    assert code == _main.EXIT_CONFLICT
    assert "added 'route-drafts'" in out
    assert out.count('\n') == 1
    assert 'place-drafts' in rules('list')[1]


def test_dry_run_writes_nothing(rules, service):
    rules('add', PLACE)
    puts = service.calls['put']
    code, out = rules('apply', {'rules': [ROUTE]}, '--dry-run')
    assert code == 0
    assert "retired 'place-drafts'" in out
    assert "added 'route-drafts' at 0" in out
    assert service.calls['put'] == puts
    assert rules('apply', {'rules': [ROUTE]})[1] == 'accepted revision 2\n'


@pytest.mark.parametrize(
    ('command', 'words'),
    [
        (('add', {'name': 'x', 'when': {'request': {}}}), 'then'),
        (('add', '/none.json5'), '/none.json5'),
        (('move', 'nothing', '0'), 'nothing'),
        (('move', 'place-drafts', 'first'), 'first'),
        (('retire', 'place-drafts', '--revision=x'), '--revision'),
        (('explain', '--colour=red'), '--colour'),
        (('explain', '--idempotent=maybe'), '--idempotent'),
    ],
)
def test_wrong_edit_gives_one_line(rules, command, words):
    rules('add', PLACE)
    code, out = rules(*command)
    assert code == _main.EXIT_USAGE
    assert words in out
    assert out.count('\n') == 1


def test_service_that_is_down_gives_one_line(rules, service):
    """The key-value service is in an outage while an operator edits."""
    service.faults.down = True
    code, out = rules('retire', 'place-drafts')
    assert code == _main.EXIT_FAILED
    assert out.count('\n') == 1


def test_explain_says_why_earlier_rules_do_not_match(rules):
    rules('apply', {'rules': [PLACE, ROUTE]})
    code, out = rules(
        'explain', '--service=model-servers', '--account=press-7'
    )
    assert code == 0
    assert out.splitlines()[0].startswith('place-drafts: no, ')
    assert out.splitlines()[1] == 'route-drafts: matches, and decides'
    code, out = rules('explain', '--service=model-servers', '--account=7')
    assert code == 1
    assert "account is '7', must be" in out
