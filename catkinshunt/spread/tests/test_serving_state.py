import asyncio

from catkinshunt.spread import _serving_state
from catkinshunt.spread.tests import fakes
from catkinshunt.spread.tests import test_agent


def reason_of(prepare, engine=None):
    """Return the metric labels of the reason for which an engine is idle."""

    async def main(sidecar):
        prepare(sidecar)
        state = sidecar.agent.serving_state
        await sidecar.until(state.counts)
        await asyncio.sleep(0.3)
        return [reason for (reason,) in state.counts()]

    return test_agent.run(main, engine=engine)


def test_engine_without_any_version_is_reported():
    def prepare(sidecar):
        sidecar.origin.down = True

    assert reason_of(prepare) == ['no-version']


def test_engine_that_waits_for_a_transfer_is_reported():
    def prepare(sidecar):
        sidecar.origin.down = True
        sidecar.cluster_view.announce_version(2)

    assert reason_of(prepare) == ['transfer']


def test_unreachable_engine_is_reported():
    engine = fakes.FakeEngine(version=1)
    engine.down = True
    assert reason_of(lambda sidecar: None, engine) == ['unreachable']


def test_leaving_engine_is_reported():
    engine = fakes.FakeEngine(version=1)
    engine.is_leaving = True
    assert reason_of(lambda sidecar: None, engine) == ['leaving']


def test_engine_with_an_expired_version_is_reported():
    """Its older version is loaded, so its report alone does not show it."""

    def prepare(sidecar):
        sidecar.origin.down = True
        sidecar.cluster_view.announce_version(2, due_s=0.0)

    engine = fakes.FakeEngine(version=1)
    assert reason_of(prepare, engine) == ['transfer']


def test_serving_engine_has_no_reason():
    async def main(sidecar):
        state = sidecar.agent.serving_state
        await sidecar.until(state.counts)
        await sidecar.until(lambda: sidecar.engine.version == 1)
        await sidecar.until(lambda: not state.counts())

    test_agent.run(main)


def test_lines_are_bounded_while_a_reason_lasts(monkeypatch):
    """One line a turn would be four a second for each idle engine."""
    lines = []
    monkeypatch.setattr(
        _serving_state._log, 'info', lambda *args, **fields: lines.append(args)
    )
    state = _serving_state.ServingState()
    obstacle = _serving_state.Obstacle(_serving_state.Reason.TRANSFER)
    for turn in range(40):
        state.update(obstacle, turn * 0.25)
    state.update(None, 10.0)
    assert len(lines) == 3
