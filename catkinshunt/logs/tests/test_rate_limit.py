import io
import json
import threading

from catkinshunt import logs


class BlockedStream(io.StringIO):
    """A stream whose reader stopped reading."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()
        self.reached = threading.Event()

    def write(self, text):
        self.reached.set()
        self.released.wait(5)
        return super().write(text)


def test_a_blocked_reader_does_not_block_writes():
    """The reader of the log stops reading.

    If the process blocked at its next line, all requests would wait. Lines
    are dropped instead, and their number is logged.
    """
    blocked = BlockedStream()
    stream = logs.BackgroundStream(blocked)
    stream.write('first\n')
    assert blocked.reached.wait(5)
    for number in range(5000):
        stream.write(f'line {number}\n')
    blocked.released.set()
    stream.close(5)
    written = blocked.getvalue().splitlines()
    assert len(written) < 2100
    assert 'Left out 3000 lines' in blocked.getvalue()
    assert json.loads(written[-1])['prefix'] == 'logs'


def test_lines_above_the_rate_are_dropped_and_counted():
    """Each request of a burst logs a line.

    Without a limit, logging would use the processor time that the requests
    need. Dropped lines are counted by component.
    """
    budget = logs.LineRateLimiter(lines_per_s=10.0, burst=5.0)
    allowed = sum(
        budget.allow('exchange', now=step / 100) for step in range(1000)
    )
    assert 95 <= allowed <= 110
    assert budget.pop_dropped() == {'exchange': 1000 - allowed}
    assert budget.pop_dropped() == {}


def test_the_number_of_dropped_lines_is_written():
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
