import asyncio

import pytest

from standins.soak import _final_fault
from standins.soak import _records
from standins.soak import _soak

#: Seeds that failed in runs by hand: seed, seconds until all processes are
#: killed, entries, sidecars and callers.
FAILED_SEEDS = ((441, 9.0, 5, 6, 60),)
KILLED_AT, RETURNED_AT = 10.0, 11.0


def answers(before, after):
    """Return answers from (served, sent) before the fault and after it."""
    found = []
    from_at = RETURNED_AT + _final_fault.RECOVERY_S
    for at, (served, sent) in ((KILLED_AT - 1.0, before), (from_at, after)):
        for number in range(sent):
            body = b'' if number < served else None
            found.append(
                _records.Answer('a', 'chat', 'k', at, status=200, body=body)
            )
    return found


@pytest.mark.parametrize(
    ('before', 'after', 'count'),
    [
        ((9, 10), (3, 10), 0),
        ((9, 10), (2, 10), 1),
        ((9, 10), (0, 0), 1),
        ((2, 10), (0, 10), 0),
    ],
)
def test_too_little_service_after_a_return_is_found(before, after, count):
    """A checker that overlooks a broken promise proves nothing."""
    seen = _final_fault.Return(KILLED_AT, RETURNED_AT)
    assert len(seen.check(answers(before, after))) == count


def test_a_plain_service_does_not_hide_idle_engines():
    """A third of the requests needs no weights and is always served."""
    found = answers((9, 10), (0, 10))
    for answer in answers((0, 0), (10, 10)):
        answer.kind = 'book'
        found.append(answer)
    assert _final_fault.Return(KILLED_AT, RETURNED_AT).check(found)


@pytest.mark.parametrize(
    ('seed', 'duration_s', 'entries', 'sidecars', 'callers'), FAILED_SEEDS
)
def test_a_seed_with_a_return_that_failed_once_breaks_nothing(
    tmp_path, seed, duration_s, entries, sidecars, callers
):
    """All engines crash, then all processes are killed."""

    async def main():
        soak = _soak.Soak(
            tmp_path,
            seed,
            entries,
            sidecars,
            callers,
            crashes=False,
            limits=False,
            statements=False,
            returns=True,
        )
        return await soak.run(duration_s)

    assert asyncio.run(main()) == []
