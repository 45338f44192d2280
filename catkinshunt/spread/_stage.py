"""Chunks staged beside the engine."""

from catkinshunt import errors
from catkinshunt import logs

_log = logs.get_logger('stage')


async def restore(holding, engine):
    """Take staged chunks that fit the manifest into `holding`.

    After a restart of the sidecar this spares fetching them again. Chunks
    of another version, and damaged ones, are left.

    Returns:
        Number of chunks taken.
    """
    taken = 0
    for index in await engine.staged(holding.model):
        if index in holding.chunks or index >= len(holding.manifest.chunks):
            continue
        data = await engine.get_chunk(holding.model, index)
        try:
            if data is not None:
                holding.put(index, data)
                taken += 1
        except errors.CorruptChunkError:
            continue
    return taken


async def settle(holding, engine):
    """Make sure that all chunks lie beside the engine as they should.

    Staged chunks can turn bad after they were put there; an engine that
    loads one would serve damaged weights. So each is read back right before
    the order.

    Returns:
        Number of chunks that were put again.
    """
    put = 0
    for index, data in sorted(holding.chunks.items()):
        if await engine.get_chunk(holding.model, index) != data:
            await engine.put_chunk(holding.model, index, data)
            put += 1
    if put:
        _log.info(
            'Put {} chunks of {} again.',
            put,
            holding.model,
            version=holding.version,
        )
    return put
