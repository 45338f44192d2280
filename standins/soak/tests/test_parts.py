import asyncio

import pytest

from catkinshunt import errors
from catkinshunt import http1
from standins.soak import _parts
from standins.soak import _platform
from standins.soak import _records
from standins.soak import _soak

BAD = _parts.dump_prompt((_parts.FIRST_PARTS[0], _parts.CRASHING_PART, '1'))
SOUND = _parts.dump_prompt(
    (_parts.FIRST_PARTS[0], _parts.SECOND_PARTS[0], '2')
)
#: Seed and length of a short run.
SEED, RUN_S = 1, 15.0
#: Seeds that failed with a request that crashes engines beside the part, and
#: the length of these runs.
FAILED_SEEDS, FAILED_RUN_S = (9203, 94008), 18.0
#: A time long after the fifth crash of `seen_with` is known.
LATE = 9.0


def seen_with(late=0, served=20, others=20, tries=20, crashes=5):
    """Return records of requests with the crashing part and others.

    Args:
        late: runs of the first kind after the part had to be known.
        served: sound requests with prompts that began to run then.
        others: the same without prompts.
        tries: how many of each were sent then.
        crashes: engines that the part crashed within the first seconds.
    """
    seen = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
    seen.back_at = 100.0

    def add(request, at, runs, prompt='', status=502):
        seen.add_answer(
            _records.Answer(
                request, 'chat', 'k0', at, status=status, prompt=prompt,
                entry='h1', content=request.encode(),
            )
        )  # fmt: skip
        if runs:
            seen.runs.append(_records.Run(request, 'e0', at))

    for number in range(crashes):
        request = f'x-{number}'
        add(request, number / 2, True, BAD)
        seen.crashes.append(_records.Crash(request, 'e0', number / 2))
    for number in range(late):
        add(f'y-{number}', LATE, True, BAD)
    for number in range(tries):
        add(f's-{number}', LATE, number < served, SOUND)
        add(f'o-{number}', LATE, number < others)
    add('z', 2 * LATE, False, BAD)
    return seen


def test_requests_with_a_part_that_is_known_are_found():
    """A checker that counts like requests only overlooks all of them."""
    (found,) = seen_with(late=4).find_broken()
    assert '4 requests with one part reached engines up to 3.50 s' in found
    assert seen_with(late=3).find_broken() == []
    assert seen_with(late=4, crashes=4).find_broken() == []


def test_requests_of_an_entry_out_of_touch_are_not_counted():
    seen = seen_with(late=4)
    seen.interruptions['h1'].append((LATE - 1.0, LATE - 0.5))
    assert seen.find_broken() == []


@pytest.mark.parametrize(
    ('counts', 'is_broken'),
    [
        ({'served': 9}, True),
        ({'served': 10}, False),
        ({'served': 9, 'others': 18}, False),
        ({'served': 1, 'others': 7, 'tries': 7}, False),
        ({'served': 9, 'crashes': 4}, False),
    ],
)
def test_refused_sound_requests_are_found(counts, is_broken):
    """A part or an account that all share may be taken for the cause."""
    found = seen_with(**counts).find_broken()
    assert len(found) == 2 * is_broken
    for each, group in zip(found, ('first part 5c1e07a2', 'key k0')):
        assert f'45% of the sound requests with {group}' in each


def test_request_with_the_part_is_no_bystander_of_another_one():
    """It would have to be served once the part is known."""
    seen = seen_with()
    seen.crashes.append(
        _records.Crash('x-0', 'e1', 3.0, frozenset(['z', 's-1']))
    )
    assert seen.find_bystanders() == [('chat', 'k0', b's-1', SOUND)]


@pytest.mark.parametrize(
    ('prompt', 'crashes'),
    [
        (BAD, True),
        (SOUND, False),
        (_parts.dump_prompt(('a', 'b', _parts.CRASHING_PART)), False),
    ],
)
def test_engine_crashes_once_it_begins_to_write_on_the_part(prompt, crashes):
    """Where nothing crashes, the soak would prove nothing about parts."""

    async def main():
        seen = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
        clock = asyncio.get_running_loop().time
        engine = _platform.Upstream('e1', 'engines', seen, clock, version=1)
        engine.on_crash = lambda: None
        await engine.start('127.0.0.1', 0)
        pool = http1.Pool('127.0.0.1', engine.port, clock)
        items = [('Attempt-Id', 'a-1'), ('Prompt-Prefix', prompt)]
        begun = clock()
        try:
            await http1.exchange(pool, 'POST', '/chat/1', items, b'any')
        except errors.OutcomeUnknownError:
            pass
        assert clock() - begun >= _platform.PREFILL_S
        return [crash.upstream for crash in seen.crashes]

    assert asyncio.run(main()) == (['e1'] if crashes else [])


def test_short_run_with_a_part_that_crashes_engines_breaks_nothing(tmp_path):
    """Requests with the part were not alike, and crashed engines for ever."""

    async def main():
        soak = _soak.Soak(
            tmp_path, SEED, entries=2, sidecars=4, callers=8, crashes=False,
            limits=False, statements=False, parts=True,
        )  # fmt: skip
        return await soak.run(RUN_S), soak.records

    found, seen = asyncio.run(main())
    assert found == []
    crashes = [crash.at for crash in seen.crashes]
    assert len(crashes) >= 3
    known_at = crashes[2] + _records.CONTACT_S
    sent = [
        answer
        for answer in seen.answers
        if _parts.has_crashing_part(answer.prompt)
        and answer.sent_at > known_at
    ]
    assert len(sent) > 5


@pytest.mark.parametrize('seed', FAILED_SEEDS)
def test_a_seed_with_both_causes_that_failed_once_breaks_nothing(
    seed, tmp_path
):
    """A part that all share was refused, and the whole request ran on."""

    async def main():
        soak = _soak.Soak(
            tmp_path, seed, entries=2, sidecars=4, callers=8, parts=True
        )
        return await soak.run(FAILED_RUN_S)

    assert asyncio.run(main()) == []
