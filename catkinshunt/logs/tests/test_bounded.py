import io
import json
import threading

from catkinshunt import logs


class StuckStream(io.StringIO):
    """A stream whose reader has stopped reading."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()
        self.reached = threading.Event()

    def write(self, text):
        self.reached.set()
        self.released.wait(5)
        return super().write(text)


def test_a_stuck_reader_costs_lines_and_no_time():
    """Whoever reads the log stops reading.

    The process must not wait for it at its next line, or all requests would
    wait with it. Lines are left out, and it is said how many.
    """
    stuck = StuckStream()
    stream = logs.BackgroundStream(stuck)
    stream.write('first\n')
    assert stuck.reached.wait(5)
    for number in range(5000):
        stream.write(f'line {number}\n')
    stuck.released.set()
    stream.close(5)
    written = stuck.getvalue().splitlines()
    assert len(written) < 2100
    assert 'Left out 3000 lines' in stuck.getvalue()
    assert json.loads(written[-1])['prefix'] == 'logs'


def test_lines_under_load_are_bounded_and_counted():
    """A burst of requests writes a line each.

    Without a bound the lines would take the time that the requests need;
    what is left out is counted by part and told with the next line.
    """
    budget = logs.LineRateLimiter(lines_per_s=10.0, burst=5.0)
    allowed = sum(
        budget.allow('exchange', now=step / 100) for step in range(1000)
    )
    assert 95 <= allowed <= 110
    assert budget.pop_dropped() == {'exchange': 1000 - allowed}
    assert budget.pop_dropped() == {}


def test_the_count_of_left_out_lines_is_written():
    stream = io.StringIO()
    budget = logs.LineRateLimiter(lines_per_s=1e-9, burst=1.0)
    logs.configure('json', stream=stream, budget=budget)
    try:
        log = logs.get_logger('exchange')
        for _ in range(3):
            log.info('One.')
        log.warning('Always.')
        budget.burst = budget._tokens = 1.0
        log.info('Again.')
    finally:
        logs.configure()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line['message'] for line in lines] == ['One.', 'Always.', 'Again.']
    assert lines[2]['left_out'] == {'exchange': 2}
