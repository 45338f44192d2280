import loguru
import pytest

from catkinshunt import gateway
from catkinshunt.gateway import _header_audit
from catkinshunt import metrics


@pytest.fixture
def lines():
    found = []
    sink = loguru.logger.add(lambda text: found.append(text.record['message']))
    yield found
    loguru.logger.remove(sink)


def audit():
    counter = metrics.Registry().counter('ignored', '', ('reason', 'header'))
    return _header_audit.HeaderAudit(counter)


def request_audit():
    counter = metrics.Registry().counter('omitted', '')
    return _header_audit.RequestAudit(counter)


def unknown(*names):
    return gateway.ReplyInfo(unknown_headers=names)


def test_unknown_header_leaves_one_line_and_a_count(lines):
    """Nobody would notice that a statement of upstreams is ignored."""
    found = audit()
    for upstream in ('u1', 'u2'):
        found.observe(upstream, unknown('Server-Mood'), 0.0)
    assert len(lines) == 1
    assert 'u1 sends the unknown header Server-Mood' in lines[0]
    assert found.counter.report()[('unknown', 'server-mood')] == 2


def test_names_in_logs_are_bounded(lines):
    """Random header names would fill the log and the memory."""
    found = audit()
    for number in range(100):
        found.observe('u1', unknown(f'X-{number}'), 0.0)
    assert len(lines) == _header_audit.MAX_NAMES


def test_names_in_metrics_are_bounded(lines):
    """Spoilt header names would fill the memory with counters."""
    found = audit()
    for number in range(100):
        found.observe('u1', unknown(f'X-{number}', 'X-0'), 0.0)
    counts = found.counter.report()
    assert len(counts) == _header_audit.MAX_NAMES + 1
    assert counts[('unknown', 'x-0')] == 101
    assert counts[('unknown', '(other)')] == 100 - _header_audit.MAX_NAMES


def test_invalid_header_leaves_a_line_a_minute(lines):
    """A runner may send what cannot be read in each of its replies."""
    found = audit()
    info = gateway.ReplyInfo(invalid_headers=('Server-Limit',))
    for second in range(100):
        found.observe('u1', info, float(second))
    assert len(lines) == 2
    found.observe('u2', info, 0.0)
    assert len(lines) == 3


def test_omitted_parts_leave_a_line_a_minute(lines):
    """A client may send what cannot be read in each of its requests."""
    found = request_audit()
    info = gateway.RequestInfo('a1', 'shop', '/', omitted_parts=("'x'",))
    for second in range(100):
        found.observe(info, float(second))
    assert len(lines) == 2
    assert "'x'" in lines[0]
    assert 'a1' in lines[0]
    assert '60 requests' in lines[1]
    assert found.counter.report()[()] == 100


def test_sound_parts_leave_no_line(lines):
    info = gateway.RequestInfo('a1', 'shop', '/', prompt_parts=('5c1e',))
    found = request_audit()
    found.observe(info, 0.0)
    assert not lines
    assert not found.counter.report()
