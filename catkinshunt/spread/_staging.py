"""Chunks staged beside the engine."""

from catkinshunt import errors
from catkinshunt import logs

_log = logs.get_logger('stage')


async def restore_staged(chunk_store, engine):
    """Take staged chunks that fit the manifest into `chunk_store`.

    After a restart of the sidecar this spares fetching them again. Chunks
    of another version, and damaged ones, are left.

    Returns:
        Number of chunks taken.
    """
    taken = 0
    for index in await engine.list_staged(chunk_store.model):
        if index in chunk_store.chunks or index >= len(
            chunk_store.manifest.chunks
        ):
            continue
        data = await engine.get_chunk(chunk_store.model, index)
        try:
            if data is not None:
                chunk_store.put(index, data)
                taken += 1
        except errors.CorruptChunkError:
            continue
    return taken


async def verify_staged(chunk_store, engine):
    """Make sure that all chunks lie beside the engine as they should.

    Staged chunks can turn bad after they were put there; an engine that
    loads one would serve damaged weights. So each is read back right before
    the order.

    Returns:
        Number of chunks that were put again.
    """
    put = 0
    for index, data in sorted(chunk_store.chunks.items()):
        if await engine.get_chunk(chunk_store.model, index) != data:
            await engine.put_chunk(chunk_store.model, index, data)
            put += 1
    if put:
        _log.info(
            'Put {} chunks of {} again.',
            put,
            chunk_store.model,
            version=chunk_store.version,
        )
    return put
