"""HTTP server that relays the watched state to other processes."""

import asyncio
import urllib.parse

from catkinshunt import http1
from catkinshunt import logs
from catkinshunt.watch_relay import _messages
from catkinshunt.watch_relay import base

#: Paths to read all items under a prefix, and to wait for changes.
READ_PATH = '/feed/read'
WATCH_PATH = '/feed/changes'
#: Maximum wait of a request in seconds.
MAX_WAIT_S = 2.0
#: Header with the era of the cache, if the revision asked for is of an older
#: one.
ERA_HEADER = 'Watch-Era'
#: Status codes if the requested changes are no longer available, and if the
#: state of this process may be out of date.
STATUS_GONE = 410
STATUS_NOT_CURRENT = 503

_log = logs.get_logger('feed')


class WatchRelayServer:
    """Answers reads and watches of other processes from the watch cache.

    Args:
        source: `RegionalWatchSource` of this process.
        wall: function that returns seconds on the boot-time clock.
        clock: function that returns seconds on the monotonic clock.
        budget: `callers.CallerBudget` of the process; None for no bound.
    """

    def __init__(self, source, wall, clock, budget=None):
        self.source = source
        self.wall = wall
        self._listener = http1.Listener(
            http1.make_session(self._answer), clock, budget=budget
        )

    async def start(self, host, port):
        """Listen on an address; returns self."""
        await self._listener.start(host, port)
        return self

    @property
    def port(self):
        """Listening port."""
        return self._listener.port

    def close(self):
        """Stop accepting connections."""
        self._listener.close()

    async def _answer(self, req):
        url = urllib.parse.urlsplit(req.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        try:
            prefix = query.get('prefix', '')
            wait_s = min(float(query.get('wait_s', 0)), MAX_WAIT_S)
            # Entries of an older release send no era.
            era = int(query.get('era', 0))
            after = base.Revision(era, int(query.get('after', 0)))
            # reads=1: answer only if this process watches the service
            # directly.
            must_be_direct = bool(int(query.get('reads', 0)))
        except ValueError:
            _log.warning('Rejected malformed request {}.', req.target[:100])
            return http1.Reply(400)
        if url.path == READ_PATH:
            return await self._read(prefix, era, wait_s, must_be_direct)
        if url.path == WATCH_PATH:
            return await self._watch(prefix, after, wait_s, must_be_direct)
        return http1.Reply(404)

    async def _read(self, prefix, least_era, wait_s, must_be_direct):
        cache = self.source.cache
        started_at = self.wall()
        # Once all prefixes of the cache are read, the process may watch
        # through another one. It then reads no further prefix from the
        # service, so this does not wait for one.
        await self._wait(
            lambda: (
                cache.era >= least_era
                and (cache.has_read(prefix) or cache.is_complete)
            ),
            wait_s,
        )
        if not (
            self.source.may_relay(must_be_direct)
            and cache.era >= least_era
            and cache.has_read(prefix)
        ):
            return http1.Reply(STATUS_NOT_CURRENT)
        return self._reply(cache.read_prefix(prefix), started_at)

    async def _watch(self, prefix, after, wait_s, must_be_direct):
        cache = self.source.cache
        started_at = self.wall()
        if cache.era < after.era:
            await self._wait(lambda: cache.era >= after.era, wait_s)
        # Also while the new era is being read: a read waits for that.
        if cache.era > after.era:
            return self._era_reply()
        if not (
            self.source.may_relay(must_be_direct)
            and cache.era == after.era
            and cache.is_complete
        ):
            return http1.Reply(STATUS_NOT_CURRENT)
        if not cache.has_history_since(after):
            return http1.Reply(STATUS_GONE)
        confirmed_at = cache.confirmed_at
        # A new confirmation is relayed at once. If it were sent only at the
        # end of each wait, it would be stale (`_regional.STALE_S`) after two
        # relays.
        await self._wait(
            lambda: (
                cache.era != after.era
                or cache.revision > after
                or cache.confirmed_at > confirmed_at
            ),
            wait_s,
        )
        if cache.era != after.era:
            return self._era_reply()
        if not self.source.may_relay(must_be_direct):
            return http1.Reply(STATUS_NOT_CURRENT)
        return self._reply(cache.changes_after(prefix, after), started_at)

    async def _wait(self, condition, wait_s):
        """Return once `condition` holds, or after `wait_s` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                while not condition():
                    await self.source.cache.wait()
        except TimeoutError:
            return

    def _era_reply(self):
        items = ((ERA_HEADER, str(self.source.cache.era)),)
        return http1.Reply(STATUS_GONE, items=items)

    def _reply(self, page, started_at):
        now = self.wall()
        relayed = _messages.RelayedPage(
            page,
            now - page.confirmed_at,
            now - started_at,
            None if page.changed_after is None else now - page.changed_after,
        )
        items = (('Content-Type', 'application/json'),)
        return http1.Reply(200, _messages.dump(relayed), items)
