"""What another process nearby reads from the service."""

import urllib.parse

import attrs

from catkinshunt import errors
from catkinshunt.feed import _messages
from catkinshunt.feed import _server
from catkinshunt.feed import base
from catkinshunt import http1

#: Seconds beyond the wait that was asked for after which a process that gives
#: no sign is taken as gone.
SIGN_S = 0.4
#: Seconds within which a connection must be made.
CONNECT_S = 0.4


class HistoryGoneError(errors.StoreError):
    """The changes after the revision asked for are no longer known."""


class NotReadingError(errors.StoreUnavailableError):
    """The process is there, but nobody may rely on what it knows."""


class PeerWatchSource(base.BaseWatchSource):
    """Reads and watches at one other process.

    Args:
        host: its address.
        port: port of its `WatchRelayServer`.
        clock: gives seconds on the steady clock.
        wall: gives seconds on the clock of the view.
        must_be_direct: whether it must read from the service itself.
    """

    def __init__(self, host, port, clock, wall, must_be_direct=False):
        self.wall = wall
        self.must_be_direct = must_be_direct
        self._pool = http1.Pool(host, port, clock, connect_s=CONNECT_S)

    async def read_prefix(self, prefix, wait_s=_server.LONGEST_WAIT_S):
        """See `base.BaseWatchSource.read_prefix`; waits until it is known there."""
        query = {'prefix': prefix, 'wait_s': wait_s}
        return await self._ask(_server.READ_PATH, query, wait_s)

    async def watch(self, prefix, after, wait_s):
        """See `base.BaseWatchSource.watch`."""
        query = {'prefix': prefix, 'after': after, 'wait_s': wait_s}
        return await self._ask(_server.WATCH_PATH, query, wait_s)

    async def _ask(self, path, query, wait_s):
        query['reads'] = int(self.must_be_direct)
        target = f'{path}?{urllib.parse.urlencode(query)}'
        asked_at = self.wall()
        try:
            head, body = await http1.exchange(
                self._pool, 'GET', target, timeout_s=wait_s + SIGN_S
            )
        except errors.RequestError as exc:
            self._pool.close_idle()
            raise errors.StoreUnavailableError(
                exc.message, step='ask-peer', peer=self._pool.peer
            ) from exc
        if head.status == _server.GONE:
            raise HistoryGoneError('history is gone', step='ask-peer')
        if head.status != 200:
            raise NotReadingError(
                f'answered {head.status}',
                step='ask-peer',
                peer=self._pool.peer,
            )
        told = _messages.load(body, self._pool.peer)
        # An answer can lie unread for seconds, so its times count from when
        # it was asked for.
        confirmed_at = asked_at + told.held_s - told.proved_ago_s
        return attrs.evolve(told.page, confirmed_at=confirmed_at)
