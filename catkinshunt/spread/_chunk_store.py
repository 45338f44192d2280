"""The chunks of one version that a sidecar has in memory."""

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
        filled: a transfer fills it now.
        is_upload_disabled: the own link is too narrow to give chunks.
        waits: who waits for whom.
    """

    model: str
    version: int
    manifest: object = None
    chunks: dict = attrs.field(factory=dict)
    is_filling: bool = False
    is_upload_disabled: bool = False
    wait_graph: _wait_graph.WaitGraph = attrs.field(
        factory=_wait_graph.WaitGraph
    )
    _served_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    _notifier: notifier.Notifier = attrs.field(factory=notifier.Notifier)

    @property
    def missing(self):
        """Indices of the chunks that are not here, in order."""
        if self.manifest is None:
            return None
        all_indices = range(len(self.manifest.chunks))
        return [index for index in all_indices if index not in self.chunks]

    @property
    def is_complete(self):
        """Whether all chunks are here."""
        return self.manifest is not None and not self.missing

    @property
    def missing_share(self):
        """Share of the chunks that is missing, from 0 to 1."""
        if self.manifest is None:
            return 1.0
        return len(self.missing) / len(self.manifest.chunks)

    def put(self, index, data):
        """Add a chunk after checking it.

        Raises:
            errors.CorruptChunkError: it is not the chunk of the manifest.
        """
        self.chunks[index] = self.manifest.check(index, data)
        self._notifier.notify_all()

    def set_manifest(self, manifest):
        """Take over the manifest."""
        self.manifest = manifest
        self._notifier.notify_all()

    def is_expecting(self, indices):
        """Return whether one of these comes here soon, to be passed on.

        The manifest comes before the transfer begins: a newer version takes
        the place of the one before only when its manifest is here.
        """
        if MANIFEST_INDEX in indices:
            return True
        return self.is_filling and not self.is_upload_disabled

    def begin_transfer(self):
        """Note that a transfer fills it from now on."""
        self.is_filling = True

    def end_transfer(self):
        """Note that no transfer fills it any more."""
        self.is_filling = False
        self._notifier.notify_all()

    def disable_upload(self):
        """Let others take all chunks elsewhere from now on."""
        self.is_upload_disabled = True
        self._notifier.notify_all()

    def clear(self):
        """Drop the manifest and all chunks that were checked by it."""
        self.manifest = None
        self.chunks.clear()

    async def wait_for_any(self, indices, wait_s):
        """Wait until one of these is here; return whether one is.

        It does not wait where none is on its way.

        Args:
            indices: indices of chunks, or `MANIFEST_INDEX` alone.
            wait_s: longest wait in seconds.
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
        """Return (index, bytes) of one that can be given, or None.

        One that was given least often: members that get various chunks can
        pass them on to each other.
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
        """Note that a chunk was given to a member."""
        self._served_counts[index] += 1

    def _find(self, index):
        if index == MANIFEST_INDEX:
            return None if self.manifest is None else self.manifest.dumps()
        return self.chunks.get(index)


#: Stands for the manifest where a chunk's index is asked for.
MANIFEST_INDEX = -1


class VersionStore:
    """The versions that a sidecar has or is fetching; the last two stay.

    Args:
        kept: versions of a model that are kept.
    """

    def __init__(self, max_versions=2):
        self.max_versions = max_versions
        self._chunk_stores = {}

    def chunk_store(self, model, version):
        """Return the `ChunkStore`, a new one at first."""
        key = (model, version)
        if key not in self._chunk_stores:
            self._chunk_stores[key] = ChunkStore(model, version)
            self._evict_old(model)
        return self._chunk_stores[key]

    def add(self, chunk_store):
        """Keep `chunk_store` unless its version is here already."""
        self._chunk_stores.setdefault(
            (chunk_store.model, chunk_store.version), chunk_store
        )
        self._evict_old(chunk_store.model)

    def of_model(self, model):
        """Return the holdings of a model."""
        return [
            h for (name, _), h in self._chunk_stores.items() if name == model
        ]

    def find(self, model, version):
        """Return the `ChunkStore`, or None."""
        return self._chunk_stores.get((model, version))

    def newest_complete(self):
        """Return the newest whole version by label values of its model."""
        found = {}
        for (model, version), chunk_store in self._chunk_stores.items():
            if chunk_store.is_complete:
                found[(model,)] = max(version, found.get((model,), 0))
        return found

    def missing(self):
        """Return the chunks that are missing by (model, version)."""
        return {
            key: len(chunk_store.missing)
            for key, chunk_store in self._chunk_stores.items()
            if chunk_store.manifest is not None
        }

    def _evict_old(self, model):
        versions = sorted(v for m, v in self._chunk_stores if m == model)
        for version in versions[: -self.max_versions]:
            del self._chunk_stores[(model, version)]


def check_manifest(manifest, model, version):
    """Return `manifest` if it describes this version.

    Raises:
        errors.ManifestError: it describes another one.
    """
    if manifest.model != model or manifest.version != str(version):
        raise errors.ManifestError(
            f'manifest of {manifest.model} {manifest.version}',
            step='read manifest',
        )
    return manifest
