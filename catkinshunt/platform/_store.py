"""Client of the platform's store."""

import base64
import binascii
import json
import urllib.parse

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import http1
from catkinshunt import watch_relay

#: Time-out of a call. A slow store answers in 0.4 s.
CALL_TIMEOUT_S = 1.0
_MS = 1000


class LeaseNotFoundError(errors.StoreError):
    """The lease has ended, and its keys are deleted."""


class StoreClient(watch_relay.BaseWatchSource):
    """Reads, watches and writes keys of the store.

    Args:
        address: (ip, port) of the store.
        clock: returns seconds on the monotonic clock.
        metrics: counter of calls by kind and result; None to count none.
    """

    def __init__(self, address, clock, metrics=None):
        host, port = address
        self.metrics = metrics
        self._pool = http1.Pool(host, port, clock, connect_s=CALL_TIMEOUT_S)

    async def read_prefix(self, prefix):
        """Return all items below `prefix` as one `Page`.

        The pages read from the store are not a consistent snapshot. The
        revision returned is that of the first page, so that a watch from
        there misses no change.
        """
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
                await self._query('read', '/-/kv-range', query), 'entries'
            )
            found.extend(page.items)
            if revision is None:
                revision = page.revision
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
        query = {
            'path_prefix': prefix,
            'after': after,
            'wait_ms': round(wait_s * _MS),
        }
        document = await self._query(
            'watch', '/-/kv-watch', query, timeout_s=wait_s + CALL_TIMEOUT_S
        )
        return _parse_page(document, 'events')

    async def grant_lease(self, ttl_s):
        """Return the id of a new lease that lasts `ttl_s` seconds."""
        document = await self._modify(
            'grant-lease', '/-/kv-lease', {'ttl_ms': round(ttl_s * _MS)}
        )
        lease = document.get('lease')
        if isinstance(lease, bool) or not isinstance(lease, int):
            raise errors.StoreUnavailableError(
                f'the store answered with an invalid lease: {lease!r}',
                step='grant-lease',
            )
        return lease

    async def renew_lease(self, lease):
        """Renew a lease for its full lifetime.

        Raises:
            LeaseNotFoundError: the lease has ended.
        """
        await self._modify('renew-lease', f'/-/kv-keep/{lease}')

    async def revoke_lease(self, lease):
        """Revoke a lease and delete its keys.

        Raises:
            LeaseNotFoundError: the lease has already ended.
        """
        await self._modify(
            'end-lease', f'/-/kv-lease-end/{lease}', method='DELETE'
        )

    async def write(self, key, value, lease=0):
        """Write `key` unconditionally; it is deleted when the lease ends.

        Args:
            key: the key.
            value: its value as bytes.
            lease: id of a lease; 0 for a key that stays.

        Raises:
            LeaseNotFoundError: the lease has ended.
        """
        data = base64.b64encode(value).decode()
        row = {'key': key, 'data': data, 'lease': lease}
        document = {'expected': [], 'write': [row], 'remove': []}
        await self._modify('write', '/-/kv-txn', document)

    async def _modify(self, kind, path, document=None, method='POST'):
        body = b'' if document is None else json.dumps(document).encode()
        items = [('Content-Type', 'application/json')] if body else []
        return await self._send(kind, method, path, items, body)

    async def _query(self, kind, path, query, timeout_s=CALL_TIMEOUT_S):
        target = f'{path}?{urllib.parse.urlencode(query)}'
        return await self._send(kind, 'GET', target, timeout_s=timeout_s)

    async def _send(
        self,
        kind,
        method,
        target,
        items=(),
        body=b'',
        timeout_s=CALL_TIMEOUT_S,
    ):
        result = 'lost'
        try:
            head, reply = await http1.exchange(
                self._pool, method, target, items, body, timeout_s
            )
            result = str(head.status)
        except errors.RequestError as exc:
            self._pool.close_idle()
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
        return _parse_object(reply, kind)


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


def _parse_page(document, field):
    try:
        items = tuple(_parse_item(item) for item in document[field])
        return watch_relay.Page(
            items, document['at'], bool(document.get('has_more'))
        )
    except (KeyError, TypeError, AttributeError) as exc:
        raise errors.StoreUnavailableError(
            f'the store answered with an invalid page: {exc!r}',
            step='read-page',
        ) from exc


def _parse_item(item):
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
    return watch_relay.Item(item['key'], value, item['revision'])
