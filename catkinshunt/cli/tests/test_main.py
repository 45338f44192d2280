"""Tests of arguments, exit codes and error lines."""

import json

import pytest

from catkinshunt.cli import _main
from catkinshunt import errors

ENTRY = {
    'name': 'entry-1',
    'data_centre': 'larisa-a',
    'region': 'Thessalia',
    'deployment_key': 'a key of this deployment',
    'platform': {'key_value': '127.0.0.1:1', 'instance_list': '127.0.0.1:1'},
}


@pytest.mark.parametrize(
    ('argv', 'words'),
    [
        (['entry'], 'path'),
        (['entry', 'a', 'b'], 'b'),
        (['entry', 'a', '--port=3'], '--port=3'),
        (['entry', '/none.json5'], 'No such file'),
        (['entry', '3'], 'No such file'),
        (['rules'], "'rules'"),
        (['nonsense'], 'nonsense'),
        (['check-settings'], 'needs a file'),
        (['check-settings', '/none.json5'], 'No such file'),
        (['status', '--wathc'], '--wathc'),
        (['status', '--settings'], 'No such file'),
        (['rules', 'list', '--settings=/none.json5'], 'No such file'),
    ],
)
def test_wrong_arguments_give_one_line(argv, words, capsys):
    """An operator mistypes a flag or a path.

    A usage page or a traceback would hide the error.
    """
    assert _main.run(argv) == _main.EXIT_USAGE
    captured = capsys.readouterr()
    assert words in captured.err
    assert captured.err.count('\n') == 1
    assert captured.out == ''


@pytest.mark.parametrize(
    'argv',
    [
        [],
        ['--help'],
        ['rules', '--help'],
        ['status', '--help'],
        ['entry', '-h'],
        ['help'],
    ],
)
def test_help_goes_to_standard_output(argv, capsys):
    assert _main.run(argv) == _main.EXIT_OK
    captured = capsys.readouterr()
    assert captured.out.startswith('NAME\n    catkinshunt')
    assert captured.err == ''


@pytest.mark.parametrize(
    ('exc', 'code'),
    [
        (errors.ConflictError('changed'), _main.EXIT_CONFLICT),
        (errors.RuleError('one\n  two'), _main.EXIT_USAGE),
        (errors.StoreUnavailableError('down', peer='kv'), _main.EXIT_FAILED),
        (OSError('port in use'), _main.EXIT_FAILED),
    ],
)
def test_errors_become_exit_codes(monkeypatch, capsys, exc, code):
    def fail(_argv):
        raise exc

    monkeypatch.setattr(_main, '_run', fail)
    assert _main.run([]) == code
    assert capsys.readouterr().err.count('\n') == 1


def write(folder, name, value):
    path = folder / name
    path.write_text(json.dumps(value))
    return str(path)


def test_check_settings_recognizes_the_kind_of_a_file(tmp_path, capsys):
    sidecar = ENTRY | {'service': 's', 'upstream': '127.0.0.1:2'}
    paths = [
        write(tmp_path, 'e.json5', ENTRY),
        write(tmp_path, 's.json5', sidecar),
        write(tmp_path, 'o.json5', {'platform': ENTRY['platform']}),
    ]
    assert _main.run(['check-settings', *paths]) == _main.EXIT_OK
    kinds = [line.split()[-1] for line in capsys.readouterr().out.splitlines()]
    assert kinds == ['entry', 'sidecar', 'operators']


def test_check_settings_shows_all_errors(tmp_path, capsys):
    path = write(tmp_path, 'e.json5', ENTRY | {'port': -1, 'threads': 'x'})
    assert _main.run(['check-settings', path]) == _main.EXIT_USAGE
    assert len(capsys.readouterr().err.splitlines()) == 2


def test_unreachable_list_gives_one_line(tmp_path, capsys):
    path = write(tmp_path, 'o.json5', {'platform': ENTRY['platform']})
    assert _main.run(['status', f'--settings={path}']) == _main.EXIT_FAILED
    err = capsys.readouterr().err
    assert '127.0.0.1:1' in err
    assert err.count('\n') == 1


@pytest.mark.parametrize(
    'words',
    [
        [],
        ['entry'],
        ['entry', 'a', '0x'],
        ['none', 'a', '0'],
        ['entry', 'a', '99'],
    ],
)
def test_restart_command_is_rejected_for_operators(words, capsys):
    """Somebody copies a command line from the process list."""
    assert _main.run(['run-checked', *words]) == _main.EXIT_USAGE
    captured = capsys.readouterr()
    assert 'run-checked is for the process' in captured.err
    assert captured.err.count('\n') == 1
