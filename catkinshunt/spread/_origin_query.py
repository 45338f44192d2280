"""Asks the origin for the version of an engine that no store announces."""

import asyncio
import math

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import base

#: Time limit of one query, and pause after one without a result. The pause
#: doubles up to the limit while there is no model to ask for: each query reads
#: the whole configuration then.
QUERY_TIMEOUT_S = 4.0
RETRY_S = 1.0
MAX_RETRY_S = 16.0

_log = logs.get_logger('agent')


class OriginQuery:
    """Finds the newest version at the origin.

    Engines start with a version that the operator may never have announced.
    If all of them crash, no member lists it any more, and a restarted sidecar
    knows neither its number nor the digests of the staged chunks.

    Args:
        origin: `base.BaseOrigin`.
        cluster_view: `base.BaseClusterView`.
        version_store: `VersionStore` to which the version is added.
        clock: returns seconds on the monotonic clock.
        on_found: function that is called when the version has been found.
    """

    def __init__(self, origin, cluster_view, version_store, clock, on_found):
        self.origin = origin
        self.cluster_view = cluster_view
        self.version_store = version_store
        self.clock = clock
        self.on_found = on_found
        self._found = None
        self._query = None
        self._retry_s = RETRY_S
        self._retry_at = -math.inf
        self._outage = logs.OutageLogger(
            _log,
            'Asking the origin for its newest version failed: {}.',
            'The origin has told its newest version.',
        )

    def find_target(self):
        """Return the `base.TargetVersion`; None until it has been found.

        Starts a query if none is in progress.
        """
        if self._found is not None and self._has_manifest(self._found):
            return self._found
        is_asking = self._query is not None and not self._query.done()
        if not is_asking and self.clock() >= self._retry_at:
            self._query = asyncio.ensure_future(self._ask())
        return None

    def _has_manifest(self, target):
        """Return whether the manifest was not dropped as damaged."""
        chunk_store = self.version_store.find(target.model, target.version)
        return chunk_store is not None and chunk_store.manifest is not None

    async def _ask(self):
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                models = await self.cluster_view.unannounced_models()
                await self._find(models)
            self._outage.end()
            self._retry_s = (
                RETRY_S if models else min(2 * self._retry_s, MAX_RETRY_S)
            )
        except (errors.CatkinshuntError, TimeoutError) as exc:
            self._outage.begin(exc)
            self._retry_s = RETRY_S
        finally:
            self._retry_at = self.clock() + self._retry_s

    async def _find(self, models):
        # Only the first model is used.
        for model in models:
            version = await self.origin.newest_version(model)
            # The number may have been damaged in transit, so the manifest is
            # requested by it.
            manifest = await self.origin.manifest(model, version)
            chunk_store = self.version_store.get_or_create(model, version)
            if chunk_store.manifest is None:
                chunk_store.set_manifest(manifest)
            self._found = base.TargetVersion(
                model, version, self.cluster_view.now()
            )
            _log.info(
                'No version of {} is announced; the newest one of the origin'
                ' is {}.',
                model,
                version,
            )
            self.on_found()
            break
