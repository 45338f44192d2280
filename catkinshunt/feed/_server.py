"""Hands what this process reads from the service on to others nearby."""

import asyncio
import urllib.parse

from catkinshunt.feed import _messages
from catkinshunt import http1
from catkinshunt import logs

#: Paths of a read of all items below a prefix, and of a wait for changes.
READ_PATH = '/feed/read'
WATCH_PATH = '/feed/changes'
#: Seconds for which a request waits at most.
LONGEST_WAIT_S = 2.0
#: Status of an answer that the changes asked for are no longer known, and of
#: one that nobody may rely on what this process knows.
GONE = 410
NOT_DIRECT = 503

_log = logs.get_logger('feed')


class WatchRelayServer:
    """Answers reads and watches of other processes from a view.

    Args:
        feed: `RegionalWatchSource` of this process.
        wall: gives seconds on the clock of the view.
        clock: gives seconds on the steady clock.
    """

    def __init__(self, feed, wall, clock):
        self.feed = feed
        self.wall = wall
        self._listener = http1.Listener(http1.answer_with(self._answer), clock)

    async def start(self, host, port):
        """Listen on an address; returns self."""
        await self._listener.start(host, port)
        return self

    @property
    def port(self):
        """The port that is listened on."""
        return self._listener.port

    def close(self):
        """Accept no further connections."""
        self._listener.close()

    async def _answer(self, req):
        url = urllib.parse.urlsplit(req.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        try:
            prefix = query.get('prefix', '')
            wait_s = min(float(query.get('wait_s', 0)), LONGEST_WAIT_S)
            after = int(query.get('after', 0))
            must_be_direct = bool(int(query.get('reads', 0)))
        except ValueError:
            _log.warning('Left aside a request for {}.', req.target[:100])
            return http1.Reply(400)
        if url.path == READ_PATH:
            return await self._read(prefix, wait_s, must_be_direct)
        if url.path == WATCH_PATH:
            return await self._watch(prefix, after, wait_s, must_be_direct)
        return http1.Reply(404)

    async def _read(self, prefix, wait_s, must_be_direct):
        view = self.feed.view
        began = self.wall()
        # One that follows another by now will not read it from the service.
        await self._wait(
            lambda: view.has_read(prefix) or view.is_complete, wait_s
        )
        if not (self.feed.may_tell(must_be_direct) and view.has_read(prefix)):
            return http1.Reply(NOT_DIRECT)
        return self._tell(view.below(prefix), began)

    async def _watch(self, prefix, after, wait_s, must_be_direct):
        view = self.feed.view
        began = self.wall()
        if not (self.feed.may_tell(must_be_direct) and view.is_complete):
            return http1.Reply(NOT_DIRECT)
        if not view.knows_since(after):
            return http1.Reply(GONE)
        confirmed_at = view.confirmed_at
        # A new proof is told at once. Told at the end of each wait only, it
        # would be too old behind two processes.
        await self._wait(
            lambda: view.revision > after or view.confirmed_at > confirmed_at,
            wait_s,
        )
        if not self.feed.may_tell(must_be_direct):
            return http1.Reply(NOT_DIRECT)
        return self._tell(view.changes(prefix, after, self.wall()), began)

    async def _wait(self, condition, wait_s):
        """Return once `condition` holds, or after `wait_s` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                while not condition():
                    await self.feed.view.wait()
        except TimeoutError:
            return

    def _tell(self, page, began):
        now = self.wall()
        told = _messages.RelayedPage(
            page, now - page.confirmed_at, now - began
        )
        items = (('Content-Type', 'application/json'),)
        return http1.Reply(200, _messages.dump(told), items)
