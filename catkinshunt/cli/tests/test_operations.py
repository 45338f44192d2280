import json

from catkinshunt.cli import _main

ANSWERED = {
    'time': '2026-07-03T03:12:01.000Z',
    'message': 'Request a1 ended as overloaded.',
    'request': 'a1',
    'outcome': 'overloaded',
    'reason': 'upstream refused with 503 [step read-reply]',
    'rule': 'r-chat',
    'revision': 7,
    'age_s': 0.4,
    'tries': ['chose i-1: likely 0.1 s', 'retry budget spent, again False'],
    'sends': 1,
    'took_s': 0.08,
}


def write(path, *lines):
    path.write_text(''.join(f'{line}\n' for line in lines))
    return str(path)


def test_explain_orders_lines_by_time(tmp_path, capsys):
    later = {**ANSWERED, 'time': '2026-07-03T03:12:02.000Z'}
    first = write(tmp_path / 'edge-2.log', json.dumps(later))
    second = write(
        tmp_path / 'edge-1.log',
        'no JSON at all, yet it names a1',
        '{"request": "a1"',
        '  3.2 edge-1 ' + json.dumps(ANSWERED),
        json.dumps({**ANSWERED, 'request': 'a12'}),
    )
    assert _main.run(['explain', 'a1', first, second]) == 0
    shown = capsys.readouterr().out
    assert shown.count('ended as') == 2
    assert shown.index('03:12:01') < shown.index('03:12:02')
    assert 'reason: upstream refused with 503' in shown
    assert 'rule r-chat of revision 7' in shown
    assert 'retry budget spent' in shown


def test_explain_tells_which_part_stopped_a_request(tmp_path, capsys):
    """The line on the decision names the part, and no request with it."""
    ended = write(
        tmp_path / 'edge-1.log',
        json.dumps(
            {
                'time': '2026-07-03T03:12:04.000Z',
                'message': 'Request a1 ended as quarantined.',
                'request': 'a1',
                'outcome': 'quarantined',
                'fingerprint': 'f00d',
                'prompt_part': '5c1e',
            }
        ),
    )
    decision = {
        'time': '2026-07-03T03:12:01.000Z',
        'message': 'Quarantined prompt part f00d for 600 s after 5 crashes.',
        'fingerprint': 'f00d',
        'evidence': ['u7 0.31 s ago'],
    }
    other = {**decision, 'fingerprint': 'beef', 'message': 'Quarantined beef'}
    decided = write(
        tmp_path / 'edge-2.log', json.dumps(decision), json.dumps(other)
    )
    assert _main.run(['explain', 'a1', ended, decided]) == 0
    shown = capsys.readouterr().out
    assert 'stopped for part 5c1e of its prompt' in shown
    assert 'Quarantined prompt part f00d' in shown
    assert 'crash: upstream u7 0.31 s ago' in shown
    assert 'beef' not in shown


def test_explain_tells_a_whole_request_from_a_part(tmp_path, capsys):
    ended = {**ANSWERED, 'outcome': 'quarantined', 'fingerprint': 'f00d'}
    path = write(tmp_path / 'edge-1.log', json.dumps(ended))
    assert _main.run(['explain', 'a1', path]) == 0
    shown = capsys.readouterr().out
    assert 'stopped for the whole request' in shown
    assert 'of its prompt' not in shown


def test_explain_reports_missing_lines_and_files(tmp_path, capsys):
    empty = write(tmp_path / 'edge-1.log', '')
    assert _main.run(['explain', 'a9', empty]) == 2
    assert 'no line names request a9' in capsys.readouterr().err
    assert _main.run(['explain', 'a9', str(tmp_path / 'none.log')]) == 2
    assert 'No such file' in capsys.readouterr().err


def test_files_of_the_platform_are_checked(tmp_path, capsys):
    good = write(
        tmp_path / 'system.toml',
        'build = "true"',
        '[roles.a]',
        'run = "x"',
        'on = "edge"',
    )
    assert _main.run(['check-settings', good]) == 0
    assert 'good settings, platform deployment' in capsys.readouterr().out
    bad = write(tmp_path / 'node.toml', 'ip = 4')
    assert _main.run(['check-settings', bad]) == 2
    assert 'ip: got 4, allowed: a text' in capsys.readouterr().err
