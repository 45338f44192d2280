"""Client of the platform's store."""

import base64
import binascii
import collections
import functools
import json
import urllib.parse

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import http1
from catkinshunt.platform import _era
from catkinshunt import watch_relay

#: Time-out of a call. A slow store answers in 0.4 s.
CALL_TIMEOUT_S = 1.0
#: Reads of a prefix from the start if the era changes between two pages.
MAX_READS = 3
_ERA_HEADER = 'Store-Era'
_MS = 1000


class LeaseNotFoundError(errors.StoreError):
    """The lease has ended, and its keys are deleted."""


@attrs.frozen
class Lease:
    """A lease that the store has granted.

    Attributes:
        id: its number. In a later era it may be the number of another lease.
        era: era of the store in which it was granted.
    """

    id: int
    era: int = 0


class _EraOfPagesError(Exception):
    """The pages of one read are of two eras."""


class StoreClient(watch_relay.BaseWatchSource):
    """Reads, watches and writes keys of the store.

    Args:
        address: (ip, port) of the store.
        clock: returns seconds on the monotonic clock.
        metrics: counter of calls by kind and result; None to count none.
        eras: `EraMonitor` that is told the era of each answer.
        boottime: returns seconds on the clock of `eras`.
    """

    def __init__(self, address, clock, metrics=None, eras=None, boottime=None):
        host, port = address
        self.metrics = metrics
        self.eras = eras or _era.EraMonitor()
        self.boottime = boottime or clock
        make_pool = functools.partial(
            http1.Pool, host, port, clock, connect_s=CALL_TIMEOUT_S
        )
        # An answer does not show which call it is for: not which change was
        # made, nor which keys do not exist. So each call has a connection of
        # its own. Only watches of one prefix share connections, as an earlier
        # answer to one of them cannot move the next one past a change.
        self._pool = make_pool()
        self._watch_pools = collections.defaultdict(make_pool)

    async def read_prefix(self, prefix):
        """Return all items below `prefix` as one `Page`.

        The pages read from the store are not a consistent snapshot. The
        revision returned is that of the first page, so that a watch from
        there misses no change.

        Raises:
            errors.StoreUnavailableError: the era of the store changes again
                and again, or the call fails.
        """
        for _ in range(MAX_READS):
            try:
                return await self._read_pages(prefix)
            except _EraOfPagesError:
                continue
        raise errors.StoreUnavailableError(
            f'the era of the store changed in {MAX_READS} reads',
            step='read',
            peer=self._pool.peer,
        )

    async def _read_pages(self, prefix):
        found = []
        revision = None
        after = None
        while True:
            # 'path_prefix' is a prefix of keys here, 'after' the last key
            # read.
            query = {'path_prefix': prefix}
            if after is not None:
                query['after'] = after
            page = _parse_page(
                *await self._send(
                    'read', 'GET', _target('/-/kv-range', query)
                ),
                'entries',
            )
            if revision is None:
                revision = page.revision
            if page.revision.era != revision.era:
                raise _EraOfPagesError
            found.extend(page.items)
            if not page.has_more or not page.items:
                return watch_relay.Page(tuple(found), revision)
            after = page.items[-1].key

    async def watch(self, prefix, after, wait_s):
        """Return the changes below `prefix` after a revision as a `Page`.

        Waits for at most `wait_s` seconds; the page is empty if nothing
        changed.

        Raises:
            watch_relay.HistoryGoneError: the store no longer has these
                changes; all items must be read again.
        """
        self._check_era(after)
        query = {
            'path_prefix': prefix,
            'after': after.number,
            'wait_ms': round(wait_s * _MS),
        }
        pool = self._watch_pools[prefix]
        try:
            document, era = await self._send(
                'watch',
                'GET',
                _target('/-/kv-watch', query),
                timeout_s=wait_s + CALL_TIMEOUT_S,
                watch_pool=pool,
            )
        except watch_relay.HistoryGoneError:
            self._check_era(after)
            raise
        self._check_era(after)
        if era < after.era:
            raise self._stale_error('watch', era, after.era)
        page = _parse_page(document, era, 'events')
        try:
            watch_relay.check_changes(page, prefix, after)
        except errors.StoreUnavailableError as exc:
            pool.limit_to_single_use(exc.message)
            raise
        return page

    def _check_era(self, after):
        """Raise an error if a revision is of an older era.

        Its number may exist again, so the store might not answer with 410.
        """
        era = self.eras.era
        if era is not None and era > after.era:
            raise watch_relay.EraChangedError(
                f'the store is in era {era} after {after.era}',
                era,
                step='watch',
            )

    async def grant_lease(self, ttl_s):
        """Return a new `Lease` that lasts `ttl_s` seconds."""
        document, era = await self._modify(
            'grant-lease', '/-/kv-lease', {'ttl_ms': round(ttl_s * _MS)}
        )
        number = document.get('lease')
        if isinstance(number, bool) or not isinstance(number, int):
            raise errors.StoreUnavailableError(
                f'the store answered with an invalid lease: {number!r}',
                step='grant-lease',
            )
        return Lease(number, era)

    async def renew_lease(self, lease):
        """Renew a lease for its full lifetime.

        Raises:
            LeaseNotFoundError: the lease has ended.
        """
        await self._modify_lease(
            'renew-lease', lease, f'/-/kv-keep/{lease.id}'
        )

    async def revoke_lease(self, lease):
        """Revoke a lease and delete its keys.

        Raises:
            LeaseNotFoundError: the lease has already ended.
        """
        await self._modify_lease(
            'end-lease', lease, f'/-/kv-lease-end/{lease.id}', method='DELETE'
        )

    async def write(self, key, value, lease=None):
        """Write `key` unconditionally; it is deleted when the lease ends.

        Args:
            key: the key.
            value: its value as bytes.
            lease: `Lease` of the key; None for a key that stays.

        Raises:
            LeaseNotFoundError: the lease has ended.
        """
        data = base64.b64encode(value).decode()
        row = {'key': key, 'data': data, 'lease': lease.id if lease else 0}
        document = {'expected': [], 'write': [row], 'remove': []}
        await self._modify_lease('write', lease, '/-/kv-txn', document)

    async def remove(self, key):
        """Remove `key` unconditionally, if it exists."""
        document = {'expected': [], 'write': [], 'remove': [key]}
        await self._modify('remove', '/-/kv-txn', document)

    async def _modify_lease(self, kind, lease, *args, **kwargs):
        """Make a call with a lease, if any, of the present era.

        In a later era its number may be that of another lease, so an answer
        of 200 shows nothing.
        """
        self._check_lease(kind, lease)
        await self._modify(kind, *args, **kwargs)
        self._check_lease(kind, lease)

    def _check_lease(self, kind, lease):
        era = self.eras.era
        if lease is not None and era is not None and era > lease.era:
            raise LeaseNotFoundError(
                f'the lease is of era {lease.era}, the store in era {era}',
                step=kind,
            )

    async def _modify(self, kind, path, document=None, method='POST'):
        body = b'' if document is None else json.dumps(document).encode()
        items = [('Content-Type', 'application/json')] if body else []
        return await self._send(kind, method, path, items, body)

    async def _send(
        self,
        kind,
        method,
        target,
        items=(),
        body=b'',
        timeout_s=CALL_TIMEOUT_S,
        watch_pool=None,
    ):
        pool = watch_pool or self._pool
        result = 'lost'
        try:
            head, reply = await http1.exchange(
                pool,
                method,
                target,
                items,
                body,
                timeout_s,
                fresh=watch_pool is None,
            )
            result = str(head.status)
        except errors.RequestError as exc:
            pool.close_idle()
            # A refused call had no effect; otherwise that is unknown.
            refused = isinstance(exc, errors.RefusedError)
            error = (
                errors.StoreUnavailableError
                if refused
                else errors.StoreUnknownError
            )
            raise error(exc.message, step=kind, peer=self._pool.peer) from exc
        finally:
            if self.metrics is not None:
                self.metrics.add(kind, result)
        era = self._observe_era(kind, head)
        if head.status == 410:
            raise watch_relay.HistoryGoneError(
                'the store no longer has these changes', step=kind
            )
        if head.status == 404:
            raise LeaseNotFoundError('the lease has ended', step=kind)
        if head.status != 200:
            raise errors.StoreUnavailableError(
                f'the store answered {head.status}',
                step=kind,
                peer=self._pool.peer,
            )
        return _parse_object(reply, kind), era

    def _observe_era(self, kind, head):
        """Return the era of an answer.

        Raises:
            errors.StoreUnavailableError: it is malformed, or the answer was
                delayed beyond a change of the era and holds no more.
        """
        text = head.headers.get(_ERA_HEADER)
        if text is None and head.status != 200:
            return None
        era = self._parse_era(kind, text)
        if head.status == 200 and era < (self.eras.era or 0):
            raise self._stale_error(kind, era, self.eras.era)
        self.eras.observe(era, self.boottime())
        return era

    def _parse_era(self, kind, text):
        if text is None:
            return 0
        if not (text.isascii() and text.isdigit()):
            raise errors.StoreUnavailableError(
                f'the store answered with an invalid era: {text[:40]!r}',
                step=kind,
                peer=self._pool.peer,
            )
        return int(text)

    def _stale_error(self, kind, era, newest):
        return errors.StoreUnavailableError(
            f'the answer is of era {era}, the store in era {newest}',
            step=kind,
            peer=self._pool.peer,
        )


def _target(path, query):
    return f'{path}?{urllib.parse.urlencode(query)}'


def _parse_object(body, kind):
    try:
        document = checks.load_json(body)
    except ValueError as exc:
        raise errors.StoreUnavailableError(
            'the store answered with invalid JSON', step=kind
        ) from exc
    if not isinstance(document, dict):
        raise errors.StoreUnavailableError(
            'the store answered with JSON that is not an object', step=kind
        )
    return document


def _parse_page(document, era, field):
    try:
        items = tuple(_parse_item(item, era) for item in document[field])
        revision = watch_relay.Revision(era, _check_int(document['at']))
        return watch_relay.Page(
            items, revision, bool(document.get('has_more'))
        )
    except (KeyError, TypeError, AttributeError) as exc:
        raise errors.StoreUnavailableError(
            f'the store answered with an invalid page: {exc!r}',
            step='read-page',
        ) from exc


def _check_int(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r} is not an integer')
    return value


def _parse_item(item, era):
    value = b''
    if item.get('deleted'):
        value = None
    else:
        try:
            value = base64.b64decode(item['data'], validate=True)
        except (binascii.Error, ValueError):
            # The key exists but its value is invalid. Parsing the empty value
            # fails, so the item is ignored and logged.
            value = b''
    revision = watch_relay.Revision(era, _check_int(item['revision']))
    return watch_relay.Item(item['key'], value, revision)
