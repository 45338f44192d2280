"""Process of `bench_relay`: a gateway, of this or another source tree.

It takes the port of the upstream as its argument and prints its own. For
each line that it reads it prints the seconds of processor time that it has
used and the number of connections that it has opened to the upstream.
"""

import asyncio
import sys
import time

from catkinshunt import catalog as catalogs
from catkinshunt.gateway.tests import harness
from catkinshunt import logs
from catkinshunt import platform
from catkinshunt import rules


class Upstream(harness.FakeUpstream):
    """An upstream of another process."""

    async def start(self):
        return self

    def stop(self):
        pass


async def main():
    """Run until the input ends."""
    upstream = Upstream('u1', None)
    upstream.port = int(sys.argv[1])
    shares = [catalogs.Share('plain', 1)]
    rule_set = rules.RuleSet(harness.make_rules(shares=shares))
    async with harness.running_gateway(upstream, rule_set=rule_set) as running:
        running.context.dialect = platform.PlatformDialect()
        asyncio.ensure_future(confirm(running.context))
        print(running.server.port, flush=True)
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, sys.stdin.readline):
            opened = running.context.pool(upstream.listed()).opened
            print(time.process_time(), opened, flush=True)


async def confirm(context):
    """Keep the configuration fresh, as account keys are trusted with it."""
    while True:
        context.catalog.confirm(context.boot_clock())
        await asyncio.sleep(0.5)


if __name__ == '__main__':
    with open('/dev/null', 'w') as sink:
        logs.configure('json', 'INFO', [], sink)
        asyncio.run(main())
