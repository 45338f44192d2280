"""Lets upstreams leave and ask for back-off."""

import asyncio

#: Shortest and longest time between two changes, in seconds.
PAUSE_S = (0.1, 1.5)
#: Shortest and longest time for which an upstream leaves before it starts
#: again, and for which it turns requests away.
LEAVE_S, BACK_OFF_S = (0.5, 4.0), (0.2, 1.5)
#: Retry-After of the rejections, in seconds.
RETRY_AFTER_S = (0.25, 1.0, 2.5)
#: Share of the changes in which an upstream leaves, and of those the share
#: that the store shows at once.
LEAVE_SHARE, LISTED_SHARE = 0.4, 0.3


class StatementChanges:
    """Lets upstreams state that they leave or ask for back-off.

    Args:
        upstreams: (`_platform.Upstream`, host) by name.
        restart: coroutine function of a name that restarts an upstream.
        list_as_leaving: function of a name that lists it as leaving.
        random: source of random numbers.
        clock: gives seconds on the steady clock.
    """

    def __init__(self, upstreams, restart, list_as_leaving, random, clock):
        self.upstreams = upstreams
        self.restart = restart
        self.list_as_leaving = list_as_leaving
        self.random = random
        self.clock = clock

    async def run(self, until):
        """Change statements until a time on the clock, then end all."""
        running = []
        while self.clock() < until:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            name = self.random.choice(sorted(self.upstreams))
            upstream, _ = self.upstreams[name]
            change = self._back_off
            if self.random.random() < LEAVE_SHARE:
                change = self._leave
            running.append(asyncio.ensure_future(change(upstream)))
        await asyncio.gather(*running)

    async def _leave(self, upstream):
        # It may have another name than when it was chosen.
        name = upstream.name
        if upstream.gone or upstream.is_leaving:
            return
        upstream.is_leaving = True
        upstream.visits.has_left = True
        if self.random.random() < LISTED_SHARE:
            self.list_as_leaving(name)
        await asyncio.sleep(self.random.uniform(*LEAVE_S))
        # It may have crashed meanwhile, and be back under another name.
        if upstream.name == name and upstream.is_leaving:
            await self.restart(name)

    async def _back_off(self, upstream):
        upstream.back_off_s = self.random.choice(RETRY_AFTER_S)
        await asyncio.sleep(self.random.uniform(*BACK_OFF_S))
        upstream.back_off_s = None
