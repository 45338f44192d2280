"""Lets upstreams state limits of requests per second."""

import asyncio
import math

#: Limits that are stated, in requests per second; infinite for none.
LIMITS_PER_S = (0.25, 0.5, 1.0, 1.8, 4.0, math.inf)
#: Shortest and longest time between two changes, in seconds.
PAUSE_S = (0.1, 1.5)
#: Share of the changes in which an upstream starts again under its name.
RESTART_SHARE = 0.1


class LimitChanges:
    """Changes the limits of upstreams until they all end.

    Args:
        upstreams: (`_platform.Upstream`, host) by name.
        restart: coroutine function of a name that restarts an upstream.
        random: source of random numbers.
        clock: gives seconds on the steady clock.
    """

    def __init__(self, upstreams, restart, random, clock):
        self.upstreams = upstreams
        self.restart = restart
        self.random = random
        self.clock = clock

    async def run(self, until):
        """Change limits until a time on the clock."""
        while self.clock() < until:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            name = self.random.choice(sorted(self.upstreams))
            if self.random.random() < RESTART_SHARE:
                await self.restart(name)
            else:
                upstream, _ = self.upstreams[name]
                upstream.state_limit(self.random.choice(LIMITS_PER_S))
        for upstream, _ in self.upstreams.values():
            upstream.state_limit(math.inf)
