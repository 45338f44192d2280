import asyncio

from catkinshunt import spread
from catkinshunt.spread import _origin_query
from catkinshunt.spread.tests import fakes
from catkinshunt.spread.tests import swarm


class _CountingView(fakes.FakeClusterView):
    """Counts how often the models are read."""

    reads = 0

    async def unannounced_models(self):
        self.reads += 1
        return ()


def test_queries_without_a_model_become_rare():
    """Each one would read a large configuration at every idle engine."""

    async def main():
        view = _CountingView()
        clock = asyncio.get_running_loop().time
        query = _origin_query.OriginQuery(
            fakes.FakeOrigin(), view, spread.VersionStore(), clock, print
        )
        while clock() < 60.0:
            query.find_target()
            await asyncio.sleep(0.25)
        return view.reads

    assert swarm.run_in_virtual_time(main) <= 8
