"""Reads and watches relayed by another process."""

import collections
import functools
import urllib.parse

import attrs

from catkinshunt import errors
from catkinshunt import http1
from catkinshunt.watch_relay import _messages
from catkinshunt.watch_relay import _server
from catkinshunt.watch_relay import base

#: Seconds beyond the requested wait after which a process that has not
#: answered counts as unresponsive.
RESPONSE_MARGIN_S = 0.4
CONNECT_TIMEOUT_S = 0.4


class HistoryGoneError(errors.StoreError):
    """The changes after the requested revision are no longer available."""


class EraChangedError(HistoryGoneError):
    """The requested revision is of an older era.

    Attributes:
        era: the newest known era.
    """

    def __init__(self, message, era, **details):
        super().__init__(message, **details)
        self.era = era


class NotCurrentError(errors.StoreUnavailableError):
    """The process answered with neither a page nor `_server.STATUS_GONE`.

    With `_server.STATUS_NOT_CURRENT`, its state may be out of date.
    """


class PeerWatchSource(base.BaseWatchSource):
    """Watch source that reads from the `WatchRelayServer` of one process.

    Args:
        host: address of the process.
        port: port of its `WatchRelayServer`.
        clock: function that returns seconds on the monotonic clock.
        wall: function that returns seconds on the boot-time clock.
        must_be_direct: whether the process must watch the service directly.
    """

    def __init__(self, host, port, clock, wall, must_be_direct=False):
        self.wall = wall
        self.must_be_direct = must_be_direct
        make_pool = functools.partial(
            http1.Pool, host, port, clock, connect_s=CONNECT_TIMEOUT_S
        )
        self._pool = make_pool()
        # Only watches of one prefix share connections: an earlier answer to
        # one of them cannot move the next one past a change.
        self._watch_pools = collections.defaultdict(make_pool)

    async def read_prefix(
        self, prefix, wait_s=_server.MAX_WAIT_S, least_era=0
    ):
        """Wait until the peer has read `prefix`, and return its page.

        Args:
            prefix: prefix of the keys.
            wait_s: maximum time in seconds to wait for it.
            least_era: lowest era of the service that the page may be of.
        """
        query = {'prefix': prefix, 'era': least_era, 'wait_s': wait_s}
        return await self._fetch(_server.READ_PATH, query, wait_s)

    async def watch(self, prefix, after, wait_s):
        """See `base.BaseWatchSource.watch`."""
        query = {
            'prefix': prefix,
            'after': after.number,
            'era': after.era,
            'wait_s': wait_s,
        }
        pool = self._watch_pools[prefix]
        page = await self._fetch(_server.WATCH_PATH, query, wait_s, pool)
        try:
            base.check_changes(page, prefix, after)
        except errors.StoreUnavailableError as exc:
            pool.limit_to_single_use(exc.message)
            raise
        return page

    def _check_era(self, head):
        """Raise an error if the peer answers that a new era has begun."""
        text = head.headers.get(_server.ERA_HEADER, '')
        if text.isascii() and text.isdigit():
            raise EraChangedError(
                f'the service is in era {text}',
                int(text),
                step='ask-peer',
                peer=self._pool.peer,
            )

    async def _fetch(self, path, query, wait_s, watch_pool=None):
        pool = watch_pool or self._pool
        # reads=1: answer only if the process watches the service directly.
        query['reads'] = int(self.must_be_direct)
        target = f'{path}?{urllib.parse.urlencode(query)}'
        requested_at = self.wall()
        try:
            head, body = await http1.exchange(
                pool,
                'GET',
                target,
                timeout_s=wait_s + RESPONSE_MARGIN_S,
                fresh=watch_pool is None,
            )
        except errors.RequestError as exc:
            pool.close_idle()
            raise errors.StoreUnavailableError(
                exc.message, step='ask-peer', peer=self._pool.peer
            ) from exc
        if head.status == _server.STATUS_GONE:
            self._check_era(head)
            raise HistoryGoneError(
                'changes after the requested revision are no longer available',
                step='ask-peer',
            )
        if head.status != 200:
            raise NotCurrentError(
                f'answered with status {head.status}',
                step='ask-peer',
                peer=self._pool.peer,
            )
        relayed = _messages.load(body, self._pool.peer)
        # The answer may be processed seconds after it arrived, so its times
        # are counted from the request.
        sent_after = requested_at + relayed.waited_s
        changed_after = None
        if relayed.changed_ago_s is not None:
            changed_after = sent_after - relayed.changed_ago_s
        return attrs.evolve(
            relayed.page,
            confirmed_at=sent_after - relayed.confirmed_ago_s,
            changed_after=changed_after,
        )
