"""Fetches the manifest of one version."""

import asyncio

from catkinshunt import errors
from catkinshunt.spread import _chunk_store
from catkinshunt.spread import _plan
from catkinshunt import weights

#: Pause after all sources failed.
RETRY_S = 0.2


async def fetch(chunk_store, plan, peers, origin, health):
    """Fetch the manifest of a `ChunkStore` unless it is present.

    Args:
        chunk_store: `ChunkStore`.
        plan: `SourcePlan`.
        peers: `PeerClient`.
        origin: `base.BaseOrigin`.
        health: `SourceHealth`.
    """
    try:
        while chunk_store.manifest is None:
            sources = plan.manifest_sources()
            # Without a usable source the best one is retried: an owner detects
            # the recovery of the origin this way.
            for source in health.usable(sources) or sources[:1]:
                if await _fetch_from(
                    source, chunk_store, peers, origin, health
                ):
                    return
            await asyncio.sleep(RETRY_S)
    finally:
        origin.release()


async def _fetch_from(source, chunk_store, peers, origin, health):
    """Request the manifest; return whether it was received."""
    model, version = chunk_store.model, chunk_store.version
    try:
        if source == _plan.ORIGIN:
            manifest = await origin.manifest(model, version)
        else:
            raw = await peers.manifest(source, model, version)
            manifest = weights.Manifest.loads(raw)
        chunk_store.set_manifest(
            _chunk_store.check_manifest(manifest, model, version)
        )
    except errors.SourceUnableError as exc:
        health.record_failure(source, exc)
        return False
    except errors.SourceBusyError:
        return False
    except errors.TransferError as exc:
        health.record_failure(source, exc)
        return False
    return True
