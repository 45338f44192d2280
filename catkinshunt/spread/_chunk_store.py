"""Chunks that a sidecar has in memory, by version."""

import asyncio
import collections

import attrs

from catkinshunt import errors
from catkinshunt import notifier
from catkinshunt.spread import _wait_graph


@attrs.define
class ChunkStore:
    """Verified chunks of one version.

    Attributes:
        manifest: `weights.Manifest` of the version.
        chunks: bytes by index.
        is_transferring: a transfer is in progress.
        is_upload_disabled: chunks are not served, since this instance's link
            is too slow.
        is_withdrawn: the origin no longer has the version.
        wait_graph: which members wait for each other.
    """

    model: str
    version: int
    manifest: object = None
    chunks: dict = attrs.field(factory=dict)
    is_transferring: bool = False
    is_upload_disabled: bool = False
    is_withdrawn: bool = False
    wait_graph: _wait_graph.WaitGraph = attrs.field(
        factory=_wait_graph.WaitGraph
    )
    _served_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    _notifier: notifier.Notifier = attrs.field(factory=notifier.Notifier)

    @property
    def missing_indices(self):
        """Sorted indices of the missing chunks; None without a manifest."""
        if self.manifest is None:
            return None
        all_indices = range(len(self.manifest.chunks))
        return [index for index in all_indices if index not in self.chunks]

    @property
    def is_complete(self):
        """Whether all chunks are present and verified."""
        return self.manifest is not None and not self.missing_indices

    @property
    def missing_share(self):
        """Fraction of the chunks that is missing, from 0 to 1."""
        if self.manifest is None:
            return 1.0
        return len(self.missing_indices) / len(self.manifest.chunks)

    def put(self, index, data):
        """Verify a chunk and add it.

        Raises:
            errors.CorruptChunkError: its digest differs from the manifest.
        """
        self.chunks[index] = self.manifest.check(index, data)
        self._notifier.notify_all()

    def set_manifest(self, manifest):
        self.manifest = manifest
        self._notifier.notify_all()

    def is_expecting(self, indices):
        """Return whether one of these chunks should arrive soon.

        The manifest is always expected: that of a newer version is fetched
        before its transfer begins.
        """
        if MANIFEST_INDEX in indices:
            return True
        return self.is_transferring and not self.is_upload_disabled

    def begin_transfer(self):
        """Mark the start of a transfer."""
        self.is_transferring = True

    def end_transfer(self):
        """Mark the end of a transfer and wake waiting requests."""
        self.is_transferring = False
        self._notifier.notify_all()

    def disable_upload(self):
        """Stop serving chunks; peers fetch them from other members."""
        self.is_upload_disabled = True
        self._notifier.notify_all()

    def clear(self):
        """Drop the manifest and all chunks that were verified with it."""
        self.manifest = None
        self.chunks.clear()

    async def wait_for_any(self, indices, wait_s):
        """Wait until one of these is available; return whether one is.

        Returns at once if none is expected.

        Args:
            indices: indices of chunks, or `MANIFEST_INDEX` alone.
            wait_s: timeout in seconds.
        """
        try:
            async with asyncio.timeout(wait_s):
                while self.find_any(indices) is None and self.is_expecting(
                    indices
                ):
                    await self._notifier.wait()
        except TimeoutError:
            return False
        return self.find_any(indices) is not None

    def find_any(self, indices):
        """Return (index, bytes) of an available one, or None.

        Prefers the least served chunk: members that receive different chunks
        can exchange them.
        """
        if self.is_upload_disabled:
            return None
        available = [
            index for index in indices if self._find(index) is not None
        ]
        if not available:
            return None
        index = min(available, key=lambda index: self._served_counts[index])
        return index, self._find(index)

    def count_served(self, index):
        self._served_counts[index] += 1

    def _find(self, index):
        if index == MANIFEST_INDEX:
            return None if self.manifest is None else self.manifest.dumps()
        return self.chunks.get(index)


#: Pseudo index that requests the manifest.
MANIFEST_INDEX = -1


class VersionStore:
    """The `ChunkStore` objects of a sidecar; evicts old versions.

    A version in transfer is kept beside them: its chunks are still staged, and
    peers fetch them here.

    Args:
        max_versions: number of versions kept per model.
    """

    def __init__(self, max_versions=2):
        self.max_versions = max_versions
        self._chunk_stores = {}

    def get_or_create(self, model, version):
        """Return the `ChunkStore` of a version.

        If there is none, creates it and may evict an older version. That of a
        version that is too old to be kept is evicted by the next call.
        """
        chunk_store = self.find(model, version)
        if chunk_store is None:
            self._evict_old(model)
            chunk_store = ChunkStore(model, version)
            self._chunk_stores[model, version] = chunk_store
            if not self.is_too_old(model, version):
                self._evict_old(model)
        return chunk_store

    def add(self, chunk_store):
        """Add `chunk_store` unless its version is present."""
        self._chunk_stores.setdefault(
            (chunk_store.model, chunk_store.version), chunk_store
        )
        self._evict_old(chunk_store.model)

    def is_too_old(self, model, version):
        """Return whether enough newer versions are present to evict it."""
        newer = [
            v for m, v in self._chunk_stores if m == model and v > version
        ]
        return len(newer) >= self.max_versions

    def clear(self):
        """Evict all versions."""
        self._chunk_stores.clear()

    def versions(self):
        """Return the set of (model, version) of all versions."""
        return set(self._chunk_stores)

    def of_model(self, model):
        """Return the `ChunkStore` objects of a model."""
        return [
            chunk_store
            for (name, _), chunk_store in self._chunk_stores.items()
            if name == model
        ]

    def find(self, model, version):
        """Return the `ChunkStore` of a version, or None."""
        return self._chunk_stores.get((model, version))

    def newest_complete(self):
        """Return the newest complete version by (model,), metric labels."""
        newest = {}
        for (model, version), chunk_store in self._chunk_stores.items():
            if chunk_store.is_complete:
                newest[(model,)] = max(version, newest.get((model,), 0))
        return newest

    def missing_counts(self):
        """Return the number of missing chunks by (model, version)."""
        return {
            key: len(chunk_store.missing_indices)
            for key, chunk_store in self._chunk_stores.items()
            if chunk_store.manifest is not None
        }

    def _evict_old(self, model):
        versions = sorted(v for m, v in self._chunk_stores if m == model)
        for version in versions[: -self.max_versions]:
            if not self._chunk_stores[model, version].is_transferring:
                del self._chunk_stores[model, version]


def check_manifest(manifest, model, version):
    """Return `manifest` if it belongs to this version.

    Raises:
        errors.ManifestError: it belongs to another version.
    """
    if manifest.model != model or manifest.version != str(version):
        raise errors.ManifestError(
            f'manifest belongs to {manifest.model} version {manifest.version}',
            step='read manifest',
        )
    return manifest
