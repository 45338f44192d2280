import loguru

from catkinshunt import callers
from catkinshunt import metrics


def test_many_refusals_are_one_line():
    """A line for each refusal of a crowd would hide all other lines."""
    now, lines = [0.0], []
    counter = metrics.Registry().counter('refused', 'Refused.', ('reason',))
    refusal_log = callers.RefusalLog(counter, lambda: now[0])
    handler = loguru.logger.add(
        lambda message: lines.append(message.record['extra'])
    )
    try:
        for number in range(3000):
            refusal_log.record(
                'memory', f'10.0.{number // 250}.{number % 250}'
            )
        now[0] = 6.0
        refusal_log.record('large', '10.0.0.1')
    finally:
        loguru.logger.remove(handler)
    assert [line['refused'] for line in lines] == [
        {'memory': 1},
        {'memory': 2999, 'large': 1},
    ]
    assert lines[1]['most_from']['10.0.0.1'] == 2
    assert len(lines[1]['most_from']) <= 5
