"""The chunks of one version that a sidecar has in memory."""

import asyncio
import collections

import attrs

from catkinshunt import notifier
from catkinshunt import errors
from catkinshunt.spread import _wait_graph


@attrs.define
class ChunkStore:
    """Verified chunks of one version.

    Attributes:
        manifest: `weights.Manifest` of the version.
        chunks: bytes by index.
        filled: a transfer fills it now.
        is_slow: far less comes here than elsewhere, so nothing is given.
        waits: who waits for whom.
    """

    model: str
    version: int
    manifest: object = None
    chunks: dict = attrs.field(factory=dict)
    filled: bool = False
    is_slow: bool = False
    waits: _wait_graph.Waits = attrs.field(factory=_wait_graph.Waits)
    _given: collections.Counter = attrs.field(factory=collections.Counter)
    _changes: notifier.Notifier = attrs.field(factory=notifier.Notifier)

    @property
    def missing(self):
        """Indices of the chunks that are not here, in order."""
        if self.manifest is None:
            return None
        every = range(len(self.manifest.chunks))
        return [index for index in every if index not in self.chunks]

    @property
    def is_complete(self):
        """Whether all chunks are here."""
        return self.manifest is not None and not self.missing

    @property
    def left_share(self):
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
        self._changes.notify_all()

    def describe(self, manifest):
        """Take over the manifest."""
        self.manifest = manifest
        self._changes.notify_all()

    def awaits(self, indices):
        """Return whether one of these comes here soon, to be passed on.

        The manifest comes before the transfer begins: a newer version takes
        the place of the one before only when its manifest is here.
        """
        if MANIFEST_INDEX in indices:
            return True
        return self.filled and not self.is_slow

    def begin(self):
        """Note that a transfer fills it from now on."""
        self.filled = True

    def end(self):
        """Note that no transfer fills it any more."""
        self.filled = False
        self._changes.notify_all()

    def give_nothing(self):
        """Let others take all chunks elsewhere from now on."""
        self.is_slow = True
        self._changes.notify_all()

    def forget(self):
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
                while self.find_any(indices) is None and self.awaits(indices):
                    await self._changes.wait()
        except TimeoutError:
            return False
        return self.find_any(indices) is not None

    def find_any(self, indices):
        """Return (index, bytes) of one that can be given, or None.

        One that was given least often: members that get various chunks can
        pass them on to each other.
        """
        if self.is_slow:
            return None
        here = [index for index in indices if self._find(index) is not None]
        if not here:
            return None
        index = min(here, key=lambda index: self._given[index])
        return index, self._find(index)

    def note_given(self, index):
        """Note that a chunk was given to a member."""
        self._given[index] += 1

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

    def __init__(self, kept=2):
        self.kept = kept
        self._holdings = {}

    def chunk_store(self, model, version):
        """Return the `ChunkStore`, a new one at first."""
        key = (model, version)
        if key not in self._holdings:
            self._holdings[key] = ChunkStore(model, version)
            self._shorten(model)
        return self._holdings[key]

    def add(self, chunk_store):
        """Keep `chunk_store` unless its version is here already."""
        self._holdings.setdefault(
            (chunk_store.model, chunk_store.version), chunk_store
        )
        self._shorten(chunk_store.model)

    def of(self, model):
        """Return the holdings of a model."""
        return [h for (name, _), h in self._holdings.items() if name == model]

    def find(self, model, version):
        """Return the `ChunkStore`, or None."""
        return self._holdings.get((model, version))

    def newest_complete(self):
        """Return the newest whole version by label values of its model."""
        found = {}
        for (model, version), chunk_store in self._holdings.items():
            if chunk_store.is_complete:
                found[(model,)] = max(version, found.get((model,), 0))
        return found

    def missing(self):
        """Return the chunks that are missing by (model, version)."""
        return {
            key: len(chunk_store.missing)
            for key, chunk_store in self._holdings.items()
            if chunk_store.manifest is not None
        }

    def _shorten(self, model):
        versions = sorted(v for m, v in self._holdings if m == model)
        for version in versions[: -self.kept]:
            del self._holdings[(model, version)]


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
