"""Faults of upstreams that end, start and are renamed meanwhile."""

import asyncio
import itertools

from standins.soak import _soak


def test_a_run_takes_another_network_if_its_own_is_in_use(
    tmp_path, monkeypatch
):
    """Two runs whose process ids had the same remainder used one network."""
    monkeypatch.setattr(_soak, '_RUNS', itertools.repeat(0))

    async def main():
        runs = [_soak.Soak(tmp_path, entries=0, sidecars=0) for _ in range(2)]
        for run in runs:
            await run._start()
        return [run.base for run in runs]

    first, second = asyncio.run(main())
    assert first != second
