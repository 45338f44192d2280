"""Verified chunks of one model version, held in memory."""

import hashlib
import threading

from catkinshunt import base
from catkinshunt import errors


class ChunkStore(base.ParamsMixin):
    """Chunks of one version; serves only what it has verified.

    A store belongs to one manifest for its whole life, so that chunks of two
    versions cannot meet in it.

    Args:
        manifest: the `Manifest` of the version.

    Examples:
        >>> from catkinshunt import weights
        >>> manifest = weights.Manifest.from_bytes('drafts', '7', b'abc', 2)
        >>> store = ChunkStore(manifest)
        >>> store.offer(1, b'c'), store.is_complete
        (True, False)
        >>> store.offer(0, b'ab'), store.is_complete, bin(store.bitmap)
        (True, True, '0b11')
    """

    def __init__(self, manifest):
        self.manifest = manifest
        self._lock = threading.Lock()
        self._chunks = {}
        self._bitmap = 0
        self._hash = hashlib.sha256()
        self._hashed = 0
        self._whole = False
        self._cancelled = False

    @property
    def bitmap(self):
        """Chunks held, as an integer with one bit a chunk."""
        return self._bitmap

    @property
    def is_complete(self):
        """Whether all chunks are held and the whole has its digest."""
        return self._whole

    @property
    def cancelled(self):
        """Whether the version was superseded."""
        return self._cancelled

    def offer(self, index, data):
        """Verify and hold chunk `index`; returns whether it was new.

        Raises:
            CorruptChunkError: the chunk, or the whole which it completes,
                differs from its digest; nothing of it will be served.
            TransferError: the version was superseded.
        """
        self.manifest.check(index, data)
        with self._lock:
            if self._cancelled:
                raise errors.TransferError(
                    f'version {self.manifest.version} was superseded',
                    step='hold chunk',
                )
            if index in self._chunks:
                return False
            self._chunks[index] = data
            self._bitmap |= 1 << index
            self._hash_prefix()
            return True

    def get(self, index):
        """Return chunk `index`, or None if it is not held."""
        return self._chunks.get(index)

    def iter_chunks(self):
        """Yield the whole, chunk by chunk.

        Raises:
            TransferError: the version is not whole, or is superseded while
                it is read; the reader then sees a short body, never bytes of
                another version.
        """
        if not self._whole:
            raise errors.TransferError(
                f'version {self.manifest.version} is not whole',
                step='read whole',
            )
        for index in range(len(self.manifest.chunks)):
            data = self.get(index)
            if data is None:
                raise errors.TransferError(
                    f'version {self.manifest.version} was superseded',
                    step='read whole',
                )
            yield data

    def cancel(self):
        """Drop all chunks and refuse new ones; the version is superseded."""
        with self._lock:
            self._cancelled = True
            self._drop()

    def _drop(self):
        self._whole = False
        self._bitmap = 0
        self._chunks.clear()

    def _hash_prefix(self):
        # The whole is hashed as its front grows, so that no long pause
        # stands between the last chunk and the order to the engine.
        while self._hashed in self._chunks:
            self._hash.update(self._chunks[self._hashed])
            self._hashed += 1
        if self._hashed < len(self.manifest.chunks):
            return
        if self._hash.hexdigest() == self.manifest.digest:
            self._whole = True
            return
        # Each chunk fits the manifest and the whole does not: the manifest
        # contradicts itself. Without this an engine would load weights that
        # nobody published; an operator sees the error and no replica.
        self._cancelled = True
        self._drop()
        raise errors.CorruptChunkError(
            'the whole differs from its digest', step='verify whole'
        )
