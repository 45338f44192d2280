"""HTTP clients of a sidecar: its engine, and the origin of weights."""

import hashlib
import json
import urllib.parse

from catkinshunt import errors
from catkinshunt import http1
from catkinshunt.platform import _documents
from catkinshunt.spread import base
from catkinshunt import weights

#: Time-out of a call to the engine.
ENGINE_TIMEOUT_S = 1.5
#: Time-out of a call to the origin. Up to ten members of a transfer share
#: its link at the start.
ORIGIN_TIMEOUT_S = 4.0
#: Time-out of connecting to the origin. The reply to the first packet is
#: queued behind chunks on the origin's link.
ORIGIN_CONNECT_TIMEOUT_S = 2.0


async def _call(
    pool, method, path, query=None, body=b'', timeout_s=ENGINE_TIMEOUT_S
):
    """Return (status, body) of one call.

    Raises:
        errors.TransferError: no answer arrived.
    """
    target = path
    if query:
        target += '?' + urllib.parse.urlencode(query)
    items = [('Content-Type', 'application/json')] if method == 'POST' else []
    try:
        head, reply = await http1.exchange(
            pool, method, target, items, body, timeout_s
        )
    except errors.RequestError as exc:
        raise errors.TransferError(
            exc.message, step=f'{method} {path}', peer=pool.peer
        ) from exc
    return head.status, reply


class PlatformEngine(base.BaseEngine):
    """Client of the engine on the sidecar's instance.

    Args:
        address: (ip, port) of the engine.
        clock: returns seconds on the monotonic clock.
    """

    def __init__(self, address, clock):
        self._pool = http1.Pool(*address, clock)

    async def report(self):
        """See `base.BaseEngine.report`."""
        status, body = await _call(self._pool, 'GET', '/-/report')
        if status != 200:
            raise errors.TransferError(
                f'the engine answered {status}', step='report'
            )
        try:
            return _documents.parse_engine_report(body)
        except _documents.InvalidDocumentError as exc:
            raise errors.TransferError(str(exc), step='report') from exc

    async def put_chunk(self, model, index, data):
        """See `base.BaseEngine.put_chunk`."""
        status, _ = await _call(
            self._pool,
            'PUT',
            f'/-/stage-put/{model}',
            {'number': index},
            data,
        )
        if status >= 300:
            raise errors.TransferError(
                f'the engine answered {status}', step='stage chunk'
            )

    async def get_chunk(self, model, index):
        """See `base.BaseEngine.get_chunk`."""
        status, body = await _call(
            self._pool, 'GET', f'/-/stage-get/{model}', {'number': index}
        )
        return body if status == 200 else None

    async def list_staged(self, model):
        """See `base.BaseEngine.list_staged`."""
        status, body = await _call(self._pool, 'GET', f'/-/stage-get/{model}')
        if status == 404:
            return []
        try:
            return _documents.parse_staged_chunks(body)
        except _documents.InvalidDocumentError as exc:
            raise errors.TransferError(str(exc), step='list stage') from exc

    async def load(self, model, version):
        """See `base.BaseEngine.load`."""
        order = {
            'operation': 'start',
            'model': model,
            'version': version,
            'mode': 'queue',
        }
        try:
            status, body = await _call(
                self._pool, 'POST', '/-/order', body=json.dumps(order).encode()
            )
        except errors.TransferError as exc:
            if isinstance(exc.__cause__, errors.RefusedError):
                raise
            raise base.LoadOutcomeUnknownError(
                exc.message, step='load'
            ) from exc
        if status not in (200, 202):
            raise errors.OrderError(
                f'the engine answered {status}: {body[:100]!r}', step='load'
            )


class PlatformOrigin(base.BaseOrigin):
    """Client of the origin of weights.

    Args:
        get_origin: coroutine function that returns the `catalog.Origin` in
            force, or None.
        clock: returns seconds on the monotonic clock.
    """

    def __init__(self, get_origin, clock):
        self.get_origin = get_origin
        self.clock = clock
        self._pool = None

    async def manifest(self, model, version):
        """See `base.BaseOrigin.manifest`."""
        body = await self._get(f'/-/manifest/{model}', {'version': version})
        try:
            return _parse_manifest(body, model, version)
        except _documents.InvalidDocumentError as exc:
            raise errors.ManifestError(str(exc), step='manifest') from exc

    async def chunk(self, model, version, index):
        """See `base.BaseOrigin.chunk`."""
        return await self._get(
            f'/-/piece/{model}', {'number': index, 'version': version}
        )

    def release(self):
        """See `base.BaseOrigin.release`."""
        if self._pool is not None:
            self._pool.close_idle()

    async def _get(self, path, query):
        status, body = await _call(
            await self._get_pool(),
            'GET',
            path,
            query,
            timeout_s=ORIGIN_TIMEOUT_S,
        )
        if status != 200:
            raise errors.TransferError(
                f'the origin answered {status}', step=path
            )
        return body

    async def _get_pool(self):
        try:
            origin = await self.get_origin()
        except errors.StoreError as exc:
            raise errors.TransferError(exc.message, step='origin') from exc
        if origin is None:
            raise errors.TransferError('no origin is known', step='origin')
        host, port = origin.address
        if self._pool is None or self._pool.peer != f'{host}:{port}':
            self._pool = http1.Pool(
                host, port, self.clock, connect_s=ORIGIN_CONNECT_TIMEOUT_S
            )
        return self._pool


def _parse_manifest(body, model, version):
    document = _documents.parse_object(body)
    digests = document.get('digests')
    size = document.get('chunk_bytes')
    if document.get('version') != version or not isinstance(digests, list):
        raise _documents.InvalidDocumentError(
            'the manifest is of another version or has no digests'
        )
    if not isinstance(size, int) or size <= 0:
        raise _documents.InvalidDocumentError(
            f'chunk_bytes is {size!r}, not a positive integer'
        )
    if not all(isinstance(digest, str) for digest in digests):
        raise _documents.InvalidDocumentError('a digest is not a string')
    return weights.Manifest(
        model=model,
        version=str(version),
        size_bytes=size * len(digests),
        chunk_bytes=size,
        chunks=tuple(digests),
        digest=hashlib.sha256(''.join(digests).encode()).hexdigest(),
    )
