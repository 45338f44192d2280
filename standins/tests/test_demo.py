"""The whole path in separate processes, with faults."""

import attrs
import pytest

from standins import callers
from standins import demo
from standins import deployment
from standins import launch

SHORT = demo.Timeline(
    calm_s=0.2,
    runner_killed_s=0.1,
    store_down_s=0.2,
    entry_killed_s=0.4,
    store_up_s=1.0,
    end_s=1.2,
)


def test_short_demo_is_good():
    """A runner and an entry die while a new version spreads.

    The key-value service is away too. Members would miss answers, or have
    a regrind booked twice.
    """
    deployed = attrs.evolve(
        deployment.load('thessalias'),
        model_bytes=1 << 20,
        link_bytes_per_s=8e6,
        origin_bytes_per_s=16e6,
    )
    value = demo.Demo(deployed, SHORT, launch.PROGRAM).run()
    assert demo.is_good(value), value
    assert value['replicas'] == value['replicas_wanted'] == 5
    assert value['answered'] > 0


@pytest.mark.parametrize(
    ('field', 'figure'),
    [('replicas', 4), ('lost', 1), ('doubled', 1), ('wrong', 1)],
)
def test_harm_is_not_good(field, figure):
    good = {'replicas': 5, 'replicas_wanted': 5}
    good |= {'lost': 0, 'doubled': 0, 'wrong': 0}
    assert demo.is_good(good)
    assert not demo.is_good(good | {field: figure})


def sent(outcome, order='', duration_s=0.1):
    return callers.Sent(
        kind='booking',
        account='press-1',
        order=order,
        outcome=outcome,
        duration_s=duration_s,
    )


@pytest.mark.parametrize(
    ('outcome', 'ran', 'field'),
    [
        (callers.ANSWERED, 1, 'answered'),
        (callers.ANSWERED, 0, 'wrong'),
        (callers.ANSWERED, 2, 'doubled'),
        (callers.REFUSED, 0, 'refused'),
        (callers.REFUSED, 1, 'wrong'),
        (callers.LOST, 0, 'lost'),
    ],
)
def test_told_outcome_is_held_against_what_ran(outcome, ran, field):
    """The booking service has run something else than callers were told."""
    called = callers.Callers(None, None)
    called.sent.append(sent(outcome, 'order-1'))
    report = called.report({'order-1': ran})
    assert report[field] == 1
