import pytest

from catkinshunt import wake_log


def arrived_after(times, now):
    log = wake_log.WakeLog(clock=None)
    for at in times:
        log.record(at)
    return log.arrived_after(now)


def test_message_of_a_running_process_is_dated_by_the_latest_record():
    assert arrived_after([10.0, 10.25, 10.5, 10.75], now=10.8) == 10.5


@pytest.mark.parametrize(
    ('times', 'now'),
    [
        ([9.75, 10.0], 12.5),
        ([9.75, 10.0, 12.5], 12.7),
        ([9.75, 10.0, 12.04], 14.01),
        ([9.75, 10.0, 12.5, 12.75, 13.0], 13.2),
    ],
)
def test_message_read_after_a_suspend_is_dated_before_it(times, now):
    """A message that waited through one or two suspends would look recent."""
    assert arrived_after(times, now) == 10.0


def test_suspend_of_long_ago_dates_no_message():
    times = [10.0, 12.0] + [12.0 + 0.25 * n for n in range(1, 12)]
    assert arrived_after(times, now=14.8) >= 14.5
