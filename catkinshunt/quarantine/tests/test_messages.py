import pytest

from catkinshunt import datagrams
from catkinshunt import quarantine
from catkinshunt.quarantine import _messages

REQUEST = 'f' * 32


def test_longest_message_fits_into_a_datagram():
    requests = (REQUEST,) * _messages.MAX_REQUESTS
    run_ms = (99999,) * len(requests)
    message = quarantine.CrashReport('c' * 16, requests, run_ms, 99999, 299.5)
    data = quarantine.dump(message)
    assert len(data) <= _messages.MAX_BYTES
    assert quarantine.load(data) == message


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'[]',
        b'["crash","c"]',
        b'["crash","c",["r"]]',
        b'["crash","c",[1],[1],1,0.0]',
        b'["crash","c","abc",[1],1,0.0]',
        b'["crash","c",["r"],["1"],1,0.0]',
        b'["crash","c",["r"],[-1],1,0.0]',
        b'["crash","c",["r"],[true],1,0.0]',
        b'["crash","c",["r"],[1,2],1,0.0]',
        b'["crash","c",["r"],[1],1,-1]',
        b'["quarantined","r",-1]',
        b'["quarantined","r",1e999]',
        b'["crash-parts","c",["r"],[1],["p"],[1,1],1,0.0]',
        b'["crash-parts","c",["r"],[1],["p"],[2,0],1,0.0]',
        b'["crash-parts","c",["r"],[1],["p"],[1,0,1,0],1,0.0]',
        b'["crash-parts","c",["r","s"],[1,1],["p"],[1,0],1,0.0]',
        b'["completions","r"]',
        b'["trial","r"]',
        b'["other","r"]',
        b'[' * 1100,
        b'["completion","' + b'f' * 2000 + b'"]',
    ],
)
def test_invalid_datagram_is_rejected(data):
    with pytest.raises(datagrams.DecodeError):
        quarantine.load(data)


def test_report_of_many_requests_is_split():
    run_s = {f'{number:032}': number / 8 for number in range(50)}
    reports = list(quarantine.split_crash_report('u', run_s, 3, -0.1))
    assert all(
        len(quarantine.dump(each)) <= _messages.MAX_BYTES for each in reports
    )
    merged = {}
    for report in reports:
        merged.update(report.run_s)
        assert (report.service_size, report.ago_s) == (3, 0.0)
    assert merged == run_s


@pytest.mark.parametrize('count', [1, 3, 16])
def test_report_of_requests_with_parts_is_split(count):
    """Requests that share parts and requests that share none."""
    run_s = {f'{number:032}': number / 8 for number in range(60)}
    parts = {}
    for request, number in zip(run_s, range(50)):
        own = [f'{number}-{n}'.zfill(32) for n in range(1, count)]
        parts[request] = ('a' * 32, *own)
    reports = list(
        quarantine.split_crash_report('c' * 16, run_s, 99999, 299.5, parts)
    )
    merged, merged_parts = {}, {}
    for report in reports:
        data = quarantine.dump(report)
        assert len(data) <= _messages.MAX_BYTES
        assert quarantine.load(data) == report
        merged.update(report.run_s)
        merged_parts.update(getattr(report, 'parts_of', {}))
    assert merged == run_s
    assert merged_parts == parts
