"""HTTP clients of a sidecar: its engine, and the origin of weights."""

import hashlib
import json
import math
import urllib.parse

import attrs

from catkinshunt import errors
from catkinshunt import http1
from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt.platform import _reply_headers
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

_log = logs.get_logger('engine')


class BackOffError(errors.TransferError):
    """The call was not made, since the server has asked for back-off."""


class _Server:
    """Calls one server, and heeds what its replies state.

    Args:
        pool: `http1.Pool` of the server.
        boot_clock: returns seconds on the boot-time clock.
    """

    def __init__(self, pool, boot_clock):
        self.pool = pool
        self.boot_clock = boot_clock
        self._backs_off_until = -math.inf

    async def call(
        self,
        method,
        path,
        query=None,
        body=b'',
        timeout_s=ENGINE_TIMEOUT_S,
        fresh=False,
    ):
        """Return the (`http1.ReplyHead`, body) of one call.

        A new connection holds a slot of an engine for a moment, so only calls
        whose answers cannot be checked are `fresh`, see `http1.exchange`.

        Raises:
            BackOffError: the server wants no calls now.
            errors.TransferError: no answer arrived.
        """
        self._check_back_off(method, path)
        target = path
        if query:
            target += '?' + urllib.parse.urlencode(query)
        items = (
            [('Content-Type', 'application/json')] if method == 'POST' else []
        )
        try:
            head, reply = await http1.exchange(
                self.pool, method, target, items, body, timeout_s, fresh
            )
        except errors.RequestError as exc:
            raise errors.TransferError(
                exc.message, step=f'{method} {path}', peer=self.pool.peer
            ) from exc
        self._record_back_off(head)
        return head, reply

    def _check_back_off(self, method, path):
        back_off_s = self._backs_off_until - self.boot_clock()
        if back_off_s > 0:
            raise BackOffError(
                f'the server wants no calls for {back_off_s:.2f} s more',
                step=f'{method} {path}',
                peer=self.pool.peer,
            )

    def _record_back_off(self, head):
        back_off_s = _reply_headers.decode(head).back_off_s
        if back_off_s is None:
            return
        _log.info('{} wants no calls for {:g} s.', self.pool.peer, back_off_s)
        self._backs_off_until = max(
            self._backs_off_until, self.boot_clock() + back_off_s
        )


class PlatformEngine(base.BaseEngine):
    """Client of the engine on the sidecar's instance.

    Args:
        address: (ip, port) of the engine.
        clock: returns seconds on the monotonic clock.
        boot_clock: returns seconds on the boot-time clock.
    """

    def __init__(self, address, clock, boot_clock):
        self._server = _Server(http1.Pool(*address, clock), boot_clock)

    async def report(self):
        """See `base.BaseEngine.report`."""
        head, body = await self._server.call('GET', '/-/report')
        if head.status != 200:
            raise errors.TransferError(
                f'the engine answered {head.status}', step='report'
            )
        try:
            report = _documents.parse_engine_report(body)
        except _documents.InvalidDocumentError as exc:
            raise errors.TransferError(str(exc), step='report') from exc
        is_leaving = _reply_headers.decode(head).is_leaving
        return attrs.evolve(report, is_leaving=is_leaving)

    async def put_chunk(self, model, index, data):
        """See `base.BaseEngine.put_chunk`."""
        head, _ = await self._server.call(
            'PUT',
            f'/-/stage-put/{model}',
            {'number': index},
            data,
        )
        if head.status >= 300:
            raise errors.TransferError(
                f'the engine answered {head.status}', step='stage chunk'
            )

    async def get_chunk(self, model, index):
        """See `base.BaseEngine.get_chunk`."""
        head, body = await self._server.call(
            'GET', f'/-/stage-get/{model}', {'number': index}
        )
        return body if head.status == 200 else None

    async def list_staged(self, model):
        """See `base.BaseEngine.list_staged`."""
        head, body = await self._server.call(
            'GET', f'/-/stage-get/{model}', fresh=True
        )
        if head.status == 404:
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
            head, body = await self._server.call(
                'POST',
                '/-/order',
                body=json.dumps(order).encode(),
                fresh=True,
            )
        except BackOffError:
            raise
        except errors.TransferError as exc:
            if isinstance(exc.__cause__, errors.RefusedError):
                raise
            raise base.LoadOutcomeUnknownError(
                exc.message, step='load'
            ) from exc
        finally:
            # A late answer to a report of before could be taken for that to
            # one of after.
            self._server.pool.close_idle()
        if head.status not in (200, 202):
            raise errors.OrderError(
                f'the engine answered {head.status}: {body[:100]!r}',
                step='load',
            )


class PlatformOrigin(base.BaseOrigin):
    """Client of the origin of weights.

    Args:
        get_origin: coroutine function that returns the `catalog.Origin` in
            force, or None.
        clock: returns seconds on the monotonic clock.
        boot_clock: returns seconds on the boot-time clock.
    """

    def __init__(self, get_origin, clock, boot_clock):
        self.get_origin = get_origin
        self.clock = clock
        self.boot_clock = boot_clock
        self._server = None

    async def manifest(self, model, version):
        """See `base.BaseOrigin.manifest`."""
        body = await self._get(f'/-/manifest/{model}', {'version': version})
        manifest = _parse_manifest(body, model)
        if manifest.version != str(version):
            raise errors.ManifestError(
                f'the manifest is of version {manifest.version}',
                step='manifest',
            )
        return manifest

    async def newest_version(self, model):
        """See `base.BaseOrigin.newest_version`."""
        body = await self._get(f'/-/manifest/{model}', fresh=True)
        return int(_parse_manifest(body, model).version)

    async def chunk(self, model, version, index):
        """See `base.BaseOrigin.chunk`."""
        return await self._get(
            f'/-/piece/{model}', {'number': index, 'version': version}
        )

    def release(self):
        """See `base.BaseOrigin.release`."""
        if self._server is not None:
            self._server.pool.close_idle()

    async def _get(self, path, query=None, fresh=False):
        server = await self._get_server()
        head, body = await server.call(
            'GET', path, query, timeout_s=ORIGIN_TIMEOUT_S, fresh=fresh
        )
        if head.status == 410 and not fresh:
            # It may be an earlier answer, about another version.
            return await self._get(path, query, fresh=True)
        if head.status == 410:
            raise errors.VersionWithdrawnError(
                'the origin no longer has the version', step=path
            )
        if head.status != 200:
            raise errors.TransferError(
                f'the origin answered {head.status}', step=path
            )
        return body

    async def _get_server(self):
        try:
            origin = await self.get_origin()
        except errors.StoreError as exc:
            raise errors.TransferError(exc.message, step='origin') from exc
        if origin is None:
            raise errors.TransferError('no origin is known', step='origin')
        host, port = origin.address
        known = self._server
        if known is None or known.pool.peer != f'{host}:{port}':
            pool = http1.Pool(
                host, port, self.clock, connect_s=ORIGIN_CONNECT_TIMEOUT_S
            )
            self._server = _Server(pool, self.boot_clock)
        return self._server


def _parse_manifest(body, model):
    try:
        return _load_manifest(_documents.parse_object(body), model)
    except _documents.InvalidDocumentError as exc:
        raise errors.ManifestError(str(exc), step='manifest') from exc


def _load_manifest(document, model):
    version = document.get('version')
    digests = document.get('digests')
    size = document.get('chunk_bytes')
    if type(version) is not int or not isinstance(digests, list):
        raise _documents.InvalidDocumentError(
            'the manifest has no version or no digests'
        )
    if document.get('model', model) != model:
        raise _documents.InvalidDocumentError('it is that of another model')
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
