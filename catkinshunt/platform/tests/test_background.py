import asyncio

import pytest

from catkinshunt import metrics
from catkinshunt.platform import _background
from catkinshunt.platform import _store_view
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_store_view


@pytest.fixture(autouse=True)
def short_pause(monkeypatch):
    monkeypatch.setattr(_background, 'RESTART_S', 0.01)


def run_loop(loop, until):
    async def main():
        registry = metrics.Registry()
        loops = _background.make_background_loops(registry)
        loops.start('watch', loop)
        try:
            await fakes.wait_until(until)
        finally:
            loops.cancel()
        return metrics.expose(registry, 0.0)[1].decode()

    return asyncio.run(main())


def test_loop_that_failed_unexpectedly_runs_again():
    """The task of a loop ends unseen, and nothing is watched any more."""
    turns = []

    async def loop():
        turns.append(None)
        if len(turns) < 3:
            raise KeyError('not expected')
        await asyncio.sleep(60)

    text = run_loop(loop, lambda: len(turns) == 3)
    assert 'catkinshunt_loop_failures_total{loop="watch"} 2' in text


def test_versions_are_read_again_after_an_unexpected_error(monkeypatch):
    """One change that cannot be applied ends the watch of versions."""

    async def main():
        store = fakes.FakeStore()
        view = test_store_view.make_view(store)
        loops = _background.make_background_loops(metrics.Registry())
        loops.start('versions', view.run)
        await fakes.wait_until(lambda: 'read' in store.calls)
        apply_version = _store_view._apply.apply_version

        def fail(*args, **kwargs):
            monkeypatch.setattr(
                _store_view._apply, 'apply_version', apply_version
            )
            raise KeyError('not expected')

        monkeypatch.setattr(_store_view._apply, 'apply_version', fail)
        test_store_view.announce(store, 2)
        await fakes.wait_until(view.catalog.announced_models)
        loops.cancel()
        return view.catalog.newest_version('drafts').version

    assert asyncio.run(main()) == 2
