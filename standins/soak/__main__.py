"""Runs the soak: ``python -m standins.soak --seed=1 --duration_s=20``."""

import asyncio
import collections
import sys
import tempfile

import fire

from catkinshunt import logs
from standins.soak import _given
from standins.soak import _soak


def main(
    seed=1, seeds=1, duration_s=20.0, entries=2, sidecars=4, callers=6,
    folder=None, crashes=_soak.CRASHES, limits=True, statements=True,
    silences=False, eras=False, parts=False, returns=False,
    stutters=False,
):  # fmt: skip
    """Run seeds one after the other; ends with 1 if a promise was broken.

    Args:
        seed: the first seed.
        seeds: how many seeds.
        duration_s: seconds for each.
        entries: entries in each.
        sidecars: engines with a sidecar in each.
        callers: callers in each.
        folder: where logs stay; a new one under the temporary folder if None.
        crashes: whether seeds may draw a request that crashes engines.
        limits: whether upstreams may state limits.
        statements: whether upstreams may leave and ask for back-off.
        silences: whether upstreams may fall silent.
        eras: whether the store may go back to a copy, and upstreams leave
            around it.
        parts: whether a part of prompts crashes engines.
        returns: whether all processes are killed after `duration_s`, in place
            of the other faults, and must serve again.
        stutters: whether upstreams may answer twice, late, cut or spoilt.
    """
    logs.configure(level='ERROR')
    failed = 0
    for number in range(seed, seed + seeds):
        place = folder or tempfile.mkdtemp(prefix=f'soak-{number}-')
        broken, summary = asyncio.run(
            run_seed(
                place,
                number,
                duration_s,
                entries,
                sidecars,
                callers,
                crashes,
                limits,
                statements,
                silences,
                eras,
                parts,
                returns,
                stutters,
            )
        )
        print(f'seed {number}: {summary}, {len(broken)} broken, logs {place}')
        for sentence in broken[:20]:
            print(f'  {sentence}')
        failed += bool(broken)
    print(f'{seeds - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


async def run_seed(folder, seed, duration_s, *sizes):
    """Run one seed; return what was broken, and a summary."""
    soak = _soak.Soak(folder, seed, *sizes)
    broken = await soak.run(duration_s)
    answers = collections.Counter(a.status for a in soak.records.answers)
    shown = ', '.join(f'{k}: {v}' for k, v in answers.most_common())
    runs, crashes = len(soak.records.runs), len(soak.records.crashes)
    limited = sum(bool(a.limited_by) for a in soak.records.answers)
    leaving = sum(bool(a.leaving) for a in soak.records.answers)
    rests = sum(len(v.rejections) for v in soak.records.visits)
    return broken, (
        f'answers {shown}; {runs} runs, {crashes} crashes, '
        f'{limited} answers with a limit, {leaving} of leaving upstreams, '
        f'{rests} rests, {len(soak.records.silences)} silences, '
        f'era {soak.store.era}, {len(soak.records.left)} departures, '
        f'version {soak.version}{_describe_return(soak)}'
        f'{_describe_stutters(soak)}'
    )


def _describe_return(soak):
    """Return what was drawn for a return, and how long it took."""
    if soak.returned is None:
        return ''
    before, after = soak.returned.served(soak.records.answers)
    times_s = soak.returned.first_runs_s(soak.records.runs)
    shown = ' '.join(f'{time_s:.1f}' for time_s in times_s)
    return (
        f'; {", ".join(soak.drawn)}; served {before} before, {after} after; '
        f'engines back after {shown} s'
    )


def _describe_stutters(soak):
    """Return how often upstreams stuttered, and what was served."""
    if not soak.stutters:
        return ''
    records = soak.records
    answers = records.find_answers_in_touch()
    served, sent = _given.count_served(answers, records.revoked)
    wrong = _given.count_wrong(records.answers, records.given)
    shown = ', '.join(f'{k}: {v}' for k, v in sorted(records.stutters.items()))
    return (
        f'; {served} of {sent} served by entries in touch; '
        f'{sum(wrong.values())} with another status {dict(wrong)}; '
        f'stutters {shown}'
    )


if __name__ == '__main__':
    fire.Fire(main)
