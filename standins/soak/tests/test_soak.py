import asyncio

import pytest

from standins.soak import _records
from standins.soak import _soak

SEEDS = (1,)


def records():
    return _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)


def answer(request='a-1', kind='book', key='k0', sent_at=0.0, **changes):
    fields = {'status': 200, 'body': _records.whole_body(request, kind)}
    return _records.Answer(
        request, kind, key, sent_at, **{**fields, **changes}
    )


def run_of(request='a-1', upstream='p0', at=0.0, version=0):
    return _records.Run(request, upstream, at, version)


def broken(answers=(), runs=(), **changes):
    found = records()
    found.answers += answers
    found.runs += runs
    for name, value in changes.items():
        setattr(found, name, value)
    return found.find_broken()


def test_a_whole_answer_breaks_nothing():
    assert broken([answer()], [run_of()]) == []


@pytest.mark.parametrize(
    ('answers', 'runs', 'changes', 'word'),
    [
        ([answer()], [run_of(), run_of()], {}, 'ran 2 times'),
        ([answer(status=503)], [run_of()], {}, 'got 503 and ran'),
        ([answer(body=b'booked a-2')], [run_of()], {}, 'another answer'),
        (
            [answer(kind='chat', body=_records.event('a-1', 1))],
            [run_of()],
            {},
            'another answer',
        ),
        ([answer()], [], {}, 'never ran'),
        (
            [answer(key='k9', sent_at=5.0)],
            [run_of(at=5.0)],
            {'revoked': {'k9': 1.0}},
            'removed 4.00 s before',
        ),
        (
            [],
            [run_of(version=1, at=9.0)],
            {'named': [(2, 1.0)]},
            'began on version 1',
        ),
        ([], [run_of(at=9.0)], {'left': {'p0': 1.0}}, 'left alone'),
        ([], [], {'loads': [('e0', {1, 2})]}, 'versions [1, 2]'),
    ],
)
def test_each_broken_promise_is_found(answers, runs, changes, word):
    """A checker that overlooks a broken promise proves nothing."""
    found = broken(answers, runs, **changes)
    assert len(found) == 1
    assert word in found[0]


def test_a_fault_of_the_store_excuses_versions_only():
    """A process that cannot know of a version may go on with the old one."""
    faults = [(1.5, 8.0)]
    late = run_of(version=1, at=9.0)
    assert broken([], [late], named=[(2, 1.0)], store_faults=faults) == []
    twice = [run_of(), run_of()]
    assert broken([answer()], twice, store_faults=faults)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_short_run_breaks_nothing(seed, tmp_path):
    async def main():
        soak = _soak.Soak(tmp_path, seed, entries=2, sidecars=2, callers=4)
        return await soak.run(6.0), soak.records

    found, seen = asyncio.run(main())
    assert found == []
    assert sum(answer.status == 200 for answer in seen.answers) > 20
