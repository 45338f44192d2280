"""Proves the history checker by histories that it must reject."""

import pytest

from catkinshunt.tests import histories

NEVER = histories.NEVER


def op(name, args, invoked, completed=NEVER, result=None, process='p'):
    return histories.Operation(process, name, args, invoked, completed, result)


def book(invoked, completed, *result):
    return op('book', ('k',), invoked, completed, result)


ALLOWED = [
    (
        histories.Bookings(),
        [
            book(0, 5, 'booked', '7'),
            book(1, 2, 'refused'),
            book(3, 6, 'booked', '7'),
            op('count', ('k',), 7, 8, 1),
        ],
    ),
    (  # The unknown one ran; the repeat gets its answer.
        histories.Bookings(),
        [book(0, NEVER), book(1, 2, 'ran'), book(3, 4, 'booked', '7')],
    ),
    (  # The unknown one did not run.
        histories.Bookings(),
        [book(0, NEVER), op('count', ('k',), 3, 4, 0)],
    ),
    (  # The unknown one ran late, after its caller had gone.
        histories.Bookings(),
        [
            book(0, NEVER),
            op('count', ('k',), 1, 2, 0),
            op('count', ('k',), 3, 4, 1),
        ],
    ),
    (
        histories.Register(),
        [
            op('write', (0, 'a'), 0, 3, 1),
            op('write', (0, 'b'), 1, 4, None),
            op('read', (), 2, 5, (0, None)),
            op('write', (1, 'c'), 6),
            op('read', (), 7, 8, (2, 'c')),
        ],
    ),
    (
        histories.InForce(),
        [
            op('see', (), 0, 1, 4, 'p'),
            op('see', (), 2, 3, 3, 'q'),
            op('see', (), 4, 5, 4, 'q'),
        ],
    ),
    (
        histories.ModelServed(),
        [
            op('order', ('u1', 'v1'), 0, 1, True),
            op('order', ('u1', 'v2'), 2, 6, True),
            op('serve', ('u1',), 3, 4, {'v1'}),
            op('serve', ('u1',), 5, 7, {'v2'}),
        ],
    ),
]

#: Model, history, index of the operation that has no place.
REJECTED = [
    (  # Two entries both ran one key.
        histories.Bookings(),
        [book(0, 2, 'booked', '7'), book(1, 3, 'booked', '8')],
        1,
    ),
    (  # Told "not run", yet the upstream ran it.
        histories.Bookings(),
        [book(0, 1, 'refused'), op('count', ('k',), 2, 3, 1)],
        1,
    ),
    (  # Ran twice.
        histories.Bookings(),
        [book(0, NEVER), book(1, NEVER), op('count', ('k',), 2, 3, 2)],
        2,
    ),
    (  # A booking that was answered is gone.
        histories.Bookings(),
        [book(0, 1, 'booked', '7'), op('count', ('k',), 2, 3, 0)],
        1,
    ),
    (  # An accepted configuration reverts.
        histories.Register(),
        [
            op('write', (0, 'a'), 0, 1, 1),
            op('write', (1, 'b'), 2, 3, 2),
            op('read', (), 4, 5, (1, 'a')),
        ],
        2,
    ),
    (  # Two operators are told that the same revision is theirs.
        histories.Register(),
        [op('write', (0, 'a'), 0, 2, 1), op('write', (0, 'b'), 1, 3, 1)],
        1,
    ),
    (  # An unknown write cannot take effect before it was made.
        histories.Register(),
        [op('read', (), 0, 1, (1, 'a')), op('write', (0, 'a'), 2)],
        0,
    ),
    (
        histories.InForce(),
        [op('see', (), 0, 1, 4), op('see', (), 2, 3, 3)],
        1,
    ),
    (  # One answer mixes two versions.
        histories.ModelServed(),
        [
            op('order', ('u1', 'v1'), 0, 1, True),
            op('order', ('u1', 'v2'), 2, 5, True),
            op('serve', ('u1',), 3, 4, {'v1', 'v2'}),
        ],
        2,
    ),
]


@pytest.mark.parametrize(('model', 'operations'), ALLOWED)
def test_checker_accepts(model, operations):
    histories.check(operations, model)


@pytest.mark.parametrize(('model', 'operations', 'wrong'), REJECTED)
def test_checker_rejects_and_names_the_operation(model, operations, wrong):
    with pytest.raises(histories.NoPlaceError) as caught:
        histories.check(operations, model)
    assert caught.value.operation is operations[wrong]


def test_recorder_keeps_real_time_order():
    recorder = histories.Recorder()
    with recorder.call('p', 'read') as first:
        with recorder.call('q', 'read') as second:
            recorder.complete(second, 1)
    assert first.invoked < second.invoked < second.completed
    assert first.completed == NEVER
