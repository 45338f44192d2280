import asyncio
import pathlib
import re

from catkinshunt import catalog as catalogs
from catkinshunt import gateway
from catkinshunt import metrics
from catkinshunt import platform
from catkinshunt.platform import _background
from catkinshunt.platform import _entry
from catkinshunt.platform import _process
from catkinshunt.platform import _sidecar
from catkinshunt.platform.tests import test_settings
from catkinshunt import spread

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'OPERATIONS.md'


def entry_registry():
    cfg = platform.parse_instance_settings(test_settings.DOCUMENT)
    registry = metrics.Registry()
    context = _entry.make_context(cfg, registry, catalogs.LiveEntries())
    context.retry_budget('desk').add_request()
    server = gateway.Gateway(context)
    _entry.register_gauges(registry, server, context)
    _process.make_store_client(cfg, registry)
    _process.make_caller_budget(cfg, registry)
    _background.make_background_loops(registry)
    return registry


def sidecar_registry():
    registry = metrics.Registry()
    version_store = spread.VersionStore()
    version_store.get_or_create('drafts', 2)
    _sidecar.register_metrics(registry, version_store)
    _sidecar.register_agent_metrics(registry, spread.Agent(*[None] * 10))
    cfg = platform.parse_instance_settings(test_settings.DOCUMENT)
    _process.make_store_client(cfg, registry)
    _process.make_caller_budget(cfg, registry)
    _background.make_background_loops(registry)
    return registry


def test_operations_page_lists_exactly_the_metrics_served():
    """An engineer finds no metric of the page, or no page for a metric."""
    named = set(re.findall(r'^\| `catkinshunt_(\w+)`', PAGE.read_text(), re.M))
    served = {
        family.name
        for registry in (entry_registry(), sidecar_registry())
        for family in registry.report()
    }
    assert named == served


def test_metrics_are_served_as_text():
    async def main():
        handle = _process.metrics_handler(entry_registry())
        request = type('Request', (), {'path': '/metrics'})
        other = type('Request', (), {'path': '/'})
        return await handle(request), await handle(other)

    reply, other = asyncio.run(main())
    assert reply.status == 200
    assert b'catkinshunt_catalog_age_seconds -1.0' in reply.body
    assert b'catkinshunt_retry_budget_tokens{service="desk"}' in reply.body
    assert other.status == 404


def test_scrape_of_a_sidecar_works():
    asyncio.run(
        _process.metrics_handler(sidecar_registry())(
            type('Request', (), {'path': '/metrics'})
        )
    )


def test_operators_see_that_a_sidecar_is_not_ready():
    """A loop that fails at every turn must not go on unseen."""
    ready = [True, False]
    handle = _process.metrics_handler(metrics.Registry(), ready.pop)
    request = type('Request', (), {'path': _process.READY_PATH})
    statuses = [asyncio.run(handle(request)).status for _ in range(2)]
    assert statuses == [503, 200]
