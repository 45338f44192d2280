"""Faults of upstreams that end, start and are renamed meanwhile."""

import asyncio
import itertools
import random

import pytest

from standins.soak import _platform
from standins.soak import _records
from standins.soak import _silences
from standins.soak import _soak
from standins.soak import _statements


async def no_restart(name):
    """Take the place of a restart."""


class Upstreams(dict):
    """Upstreams by name, one of which is renamed once it was chosen."""

    def __iter__(self):
        asyncio.get_running_loop().call_soon(self.rename)
        return super().__iter__()

    def rename(self):
        _, (upstream, host) = self.popitem()
        upstream.name = f'{upstream.name}0'
        self[upstream.name] = (upstream, host)


@pytest.mark.parametrize('kind', ['statements', 'silences'])
def test_an_upstream_is_renamed_before_its_change_begins(kind):
    """The run ended with a KeyError in place of a result."""

    async def main():
        clock = asyncio.get_running_loop().time
        seen = _records.Records(4.0, 2.0, 1.0)
        upstream = _platform.Upstream('e1', 'engines', seen, clock, 1)
        found = Upstreams(e1=(upstream, '127.0.0.1'))
        chance = random.Random(1)
        changes = _statements.StatementChanges(
            found, no_restart, lambda name: None, chance, clock
        )
        if kind == 'silences':
            changes = _silences.SilenceChanges(
                found, seen, lambda name: None, no_restart, chance, clock
            )
        await changes.run(clock() + 0.05)
        return upstream.name

    assert asyncio.run(main()).startswith('e10')


def test_a_run_takes_another_network_if_its_own_is_in_use(
    tmp_path, monkeypatch
):
    """Two runs whose process ids had the same remainder used one network."""
    monkeypatch.setattr(_soak, '_RUNS', itertools.repeat(0))

    async def main():
        runs = [_soak.Soak(tmp_path, entries=0, sidecars=0) for _ in range(2)]
        for run in runs:
            await run._start()
        bases = [run.base for run in runs]
        for run in runs:
            run._close()
        return bases

    first, second = asyncio.run(main())
    assert first != second


def test_a_run_that_has_ended_frees_its_addresses(tmp_path, monkeypatch):
    """A later run of the same process failed to bind one of them."""
    monkeypatch.setattr(_soak, '_RUNS', itertools.repeat(1))

    async def main():
        soak = _soak.Soak(tmp_path, entries=0, sidecars=0)
        await soak.run(0.0)
        return soak

    first, second = [asyncio.run(main()) for _ in range(2)]
    assert first.base == second.base
