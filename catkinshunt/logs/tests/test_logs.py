"""Tests of log lines."""

import io
import json
import logging
import threading

import loguru
import pytest

from catkinshunt import logs

KEY = 'the key of this deployment'


@pytest.fixture
def start_logs():
    """Return a function that configures logs and returns a line reader."""
    stream = io.StringIO()

    def start(log_format='plain', **params):
        logs.configure(log_format, stream=stream, **params)
        return lambda: stream.getvalue().splitlines()

    root = logging.getLogger()
    handlers, root_level = root.handlers, root.level
    yield start
    root.handlers = handlers
    root.setLevel(root_level)
    loguru.logger.remove()


@pytest.mark.parametrize('log_format', ['plain', 'json'])
def test_key_and_prompt_are_not_written(start_logs, log_format):
    """An error of a library quotes the message that it failed on.

    The line would expose the deployment key, or text of a caller, to
    everybody who reads logs.
    """
    lines = start_logs(log_format, secrets=[KEY])
    log = logs.get_logger('peers')
    try:
        raise ValueError(f'bad header {KEY}')
    except ValueError:
        log.exception('No answer.')
    log.info('Refused.', prompt='my question', deployment_key=KEY)
    assert len(lines()) == 2
    assert KEY not in '\n'.join(lines())
    assert 'my question' not in '\n'.join(lines())
    assert 'ValueError: bad header (hidden) at test_logs.py' in lines()[0]


@pytest.mark.parametrize('log_format', ['plain', 'json'])
def test_line_break_cannot_forge_a_line(start_logs, log_format):
    """A caller puts a line break into a name that is logged.

    The rest of the name would look like a log line of the system.
    """
    lines = start_logs(log_format)
    log = logs.get_logger('entry')
    with logs.request('r\n2'):
        log.info('Account {}.', 'a\n2026 INFO routing: Chose b.\u2028x')
    assert len(lines()) == 1


def test_json_line_has_its_fields(start_logs):
    lines = start_logs('json')
    with logs.request('r-9'):
        logs.get_logger('routing').info('Chose {choice}.', choice='engine-1')
    line = json.loads(lines()[0])
    assert line['time'].endswith('Z')
    assert {name: line[name] for name in line if name != 'time'} == {
        'level': 'INFO',
        'prefix': 'routing',
        'request_id': 'r-9',
        'message': 'Chose engine-1.',
        'choice': 'engine-1',
    }


def test_request_id_stays_in_its_thread(start_logs):
    lines = start_logs()
    log = logs.get_logger('entry')
    with logs.request('r-1'):
        other = threading.Thread(target=log.info, args=('Other.',))
        other.start()
        other.join()
        log.info('Mine.')
    assert lines()[0].endswith('INFO entry: Other.')
    assert lines()[1].endswith('INFO entry: [r-1] Mine.')


def test_level_and_length(start_logs):
    lines = start_logs(level='WARNING')
    log = logs.get_logger('entry')
    log.info('Left out.')
    log.warning('x' * 10_000)
    assert len(lines()) == 1
    assert len(lines()[0]) < 2100


def test_records_of_libraries_are_formatted_and_redacted(start_logs):
    """waitress logs warnings through the standard library.

    Its lines would be written in another format, with keys in them.
    """
    lines = start_logs(secrets=[KEY])
    logging.getLogger('waitress').warning('Odd header %s', KEY)
    logging.getLogger('waitress.queue').warning('Task queue depth is 1')
    assert len(lines()) == 1
    assert lines()[0].endswith('WARNING waitress: Odd header (hidden)')
