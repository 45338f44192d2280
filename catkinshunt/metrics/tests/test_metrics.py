"""Tests of recorders and of the text format for scrapers."""

import concurrent.futures
import json

import prometheus_client.parser
import pytest

from catkinshunt import httpio
from catkinshunt import metrics
from catkinshunt.metrics import _recorders


_parse = prometheus_client.parser.text_string_to_metric_families


def samples(registry, now=0.0):
    """Return the values that a scraper reads, by name and labels."""
    _, text = metrics.expose(registry, now)
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in _parse(text.decode())
        for sample in family.samples
    }


def test_scraper_reads_each_kind():
    registry = metrics.Registry()
    registry.recorder('request_duration_seconds', 'Time.').observe(0.25)
    registry.counter('requests', 'Requests.', ('outcome',)).add('answered')
    registry.gauge('replicas', 'By model.', lambda: {('m',): 3}, ('model',))
    registry.gauge('revision', 'In force.', lambda: 7)
    read = samples(registry)
    duration = 'catkinshunt_request_duration_seconds'
    assert read[f'{duration}_count', ()] == 1
    median = read[duration, (('quantile', '0.5'),)]
    assert median == pytest.approx(0.25, rel=0.01)
    answered = (('outcome', 'answered'),)
    assert read['catkinshunt_requests_total', answered] == 1
    assert read['catkinshunt_replicas', (('model', 'm'),)] == 3
    assert read['catkinshunt_revision', ()] == 7


def test_quantiles_follow_the_window():
    """A burst ends, and requests are fast again.

    Quantiles since the start would include the slow requests of the burst
    for days.
    """
    recorder = metrics.Recorder(window_s=60.0)
    recorder.report(now=0.0)
    recorder.observe(9.0)
    recorder.report(now=60.0)
    recorder.observe(0.1)
    last = recorder.report(now=120.0)
    assert dict(last.quantiles)[0.99] == pytest.approx(0.1, rel=0.01)
    assert (last.count, last.sum_s) == (2, pytest.approx(9.1))


@pytest.mark.parametrize('duration_s', [0.0, -1.0, 1e9])
def test_durations_out_of_range_are_clipped(duration_s):
    recorder = metrics.Recorder()
    recorder.observe(duration_s)
    assert recorder.report(now=0.0).count == 1


def test_counts_are_thread_safe():
    counter = metrics.Counter(('outcome',))
    recorder = metrics.Recorder()

    def work(_index):
        for _ in range(500):
            counter.add('ok')
            recorder.observe(0.001)

    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        list(executor.map(work, range(4)))
    assert counter.report() == {('ok',): 2000}
    assert recorder.report(now=0.0).count == 2000


def test_number_of_label_values_is_bounded():
    """A caller sends each request with another account name.

    Each name would create a series, until the memory of the process is
    exhausted.
    """
    counter = metrics.Counter(('account',))
    for index in range(1000):
        counter.add(f'account-{index}')
    counts = counter.report()
    assert len(counts) == _recorders.MAX_LABEL_SETS + 1
    assert sum(counts.values()) == 1000
    assert counts[('other',)] == 800


def test_pages_of_the_operator_port():
    ready = [True]
    app = metrics.OperatorApp(
        metrics.Registry(), lambda: ready[0], lambda: {'name': 'entry-1'}
    )
    with httpio.HttpServer(app, threads=1) as server:
        address = httpio.Address(server.host, server.port)

        def get(path, method='GET'):
            return httpio.exchange(address, method, path)

        assert get('/health').status == 200
        assert get('/ready').status == 200
        ready[0] = False
        assert get('/ready').status == 503
        assert get('/health').status == 200
        assert json.loads(get('/status').body) == {'name': 'entry-1'}
        assert get('/metrics').headers['Content-Type'].startswith('text/')
        assert get('/other').status == 404
        assert get('/ready', 'POST').status == 405


def test_each_request_is_measured():
    """A reply is truncated in the middle of its stream.

    Its status alone would not distinguish it from a complete reply.
    """

    def pieces():
        yield b'one'
        raise RuntimeError('upstream gone')

    bodies = {'/list': [b'ok'], '/stream': iter([b'a', b'b']), '/cut': pieces}

    def app(environ, start_response):
        start_response('200 OK', [])
        body = bodies[environ['PATH_INFO']]
        return body() if callable(body) else body

    registry = metrics.Registry()
    measured = metrics.InstrumentedApp(app, registry)

    def call(path):
        return list(measured({'PATH_INFO': path}, lambda *_: None))

    assert call('/list') == [b'ok']
    assert call('/stream') == [b'a', b'b']
    with pytest.raises(RuntimeError):
        call('/cut')
    read = samples(registry)
    ok = (('status', '200'),)
    assert read['catkinshunt_requests_total', ok] == 3
    assert read['catkinshunt_answers_cut_off_total', ()] == 1
    assert read['catkinshunt_request_duration_seconds_count', ()] == 2
    assert read['catkinshunt_first_byte_seconds_count', ()] == 3
