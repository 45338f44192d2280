"""Reads and repairs the staging area of the engine."""

from catkinshunt import errors
from catkinshunt import logs

_log = logs.get_logger('stage')


async def restore_staged(chunk_store, engine):
    """Add the staged chunks that match the manifest to `chunk_store`.

    A restarted sidecar does not have to fetch them again. Chunks of other
    versions and corrupt ones are skipped.

    Returns:
        Number of chunks added.
    """
    count = 0
    for index in await engine.list_staged(chunk_store.model):
        if index in chunk_store.chunks or index >= len(
            chunk_store.manifest.chunks
        ):
            continue
        data = await engine.get_chunk(chunk_store.model, index)
        try:
            if data is not None:
                chunk_store.put(index, data)
                count += 1
        except errors.CorruptChunkError:
            continue
    return count


async def verify_staged(chunk_store, engine, replaced):
    """Compare staged chunks with `chunk_store`; replace those that differ.

    Chunks can be corrupted after they were staged, and an engine that loads
    them would serve damaged weights. Each is read back right before the order.

    Args:
        chunk_store: the complete `ChunkStore` of the version.
        engine: `base.BaseEngine`.
        replaced: list to which the indices of replaced chunks are added, also
            if the comparison fails later.
    """
    for index, data in sorted(chunk_store.chunks.items()):
        if await engine.get_chunk(chunk_store.model, index) != data:
            # The engine may have replaced it although the call fails.
            replaced.append(index)
            await engine.put_chunk(chunk_store.model, index, data)
    if replaced:
        _log.info(
            'Replaced {} staged chunks of {}.',
            len(replaced),
            chunk_store.model,
            version=chunk_store.version,
        )
