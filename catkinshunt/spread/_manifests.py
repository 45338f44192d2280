"""Fetches the manifest of one version."""

import asyncio

from catkinshunt import errors
from catkinshunt.spread import _chunk_store
from catkinshunt.spread import _plan
from catkinshunt import weights

#: Pause after all sources failed, in seconds.
RETRY_S = 0.2


async def fetch(chunk_store, plan, peers, origin, health):
    """Fill in the manifest of a holding unless it is here.

    Args:
        holding: `ChunkStore`.
        plan: `SourcePlan`.
        peers: `PeerClient`.
        origin: `base.BaseOrigin`.
        health: `SourceHealth`.
    """
    try:
        while chunk_store.manifest is None:
            sources = plan.manifest_sources()
            # Where none is left the best one is asked all the same: whoever
            # takes it from the origin learns so that it is back.
            for source in health.usable(sources) or sources[:1]:
                if await _fetch_from(
                    source, chunk_store, peers, origin, health
                ):
                    return
            await asyncio.sleep(RETRY_S)
    finally:
        origin.release()


async def _fetch_from(source, chunk_store, peers, origin, health):
    """Ask one source; return whether it gave the manifest."""
    model, version = chunk_store.model, chunk_store.version
    try:
        if source == _plan.ORIGIN:
            found = await origin.manifest(model, version)
        else:
            raw = await peers.manifest(source, model, version)
            found = weights.Manifest.loads(raw)
        chunk_store.describe(
            _chunk_store.check_manifest(found, model, version)
        )
    except errors.SourceUnableError as exc:
        health.blame(source, exc)
        return False
    except errors.SourceBusyError:
        return False
    except errors.TransferError as exc:
        health.blame(source, exc)
        return False
    return True
