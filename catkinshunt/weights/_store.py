"""Verified chunks of one model version, in memory."""

import hashlib
import threading

from catkinshunt import base
from catkinshunt import errors


class ChunkStore(base.ParamsMixin):
    """Verified chunks of one version.

    The manifest of a store never changes, so that chunks of two versions
    cannot be mixed.

    Args:
        manifest: the `Manifest` of the version.

    Examples:
        >>> from catkinshunt import weights
        >>> manifest = weights.Manifest.from_bytes('drafts', '7', b'abc', 2)
        >>> store = ChunkStore(manifest)
        >>> store.put(1, b'c'), store.is_complete
        (True, False)
        >>> store.put(0, b'ab'), store.is_complete, bin(store.bitmap)
        (True, True, '0b11')
    """

    def __init__(self, manifest):
        self.manifest = manifest
        self._lock = threading.Lock()
        self._chunks = {}
        self._bitmap = 0
        self._hash = hashlib.sha256()
        self._n_hashed = 0
        self._is_complete = False
        self._cancelled = False

    @property
    def bitmap(self):
        """Chunks present, as an integer with one bit per chunk."""
        return self._bitmap

    @property
    def is_complete(self):
        """Whether all chunks are present and the total digest matches."""
        return self._is_complete

    @property
    def cancelled(self):
        """Whether the version was superseded."""
        return self._cancelled

    def put(self, index, data):
        """Verify and store chunk `index`; return whether it was new.

        Raises:
            CorruptChunkError: the digest of the chunk, or of the weights
                that it completes, does not match; the data is not served.
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
        """Return chunk `index`, or None if it is not present."""
        return self._chunks.get(index)

    def iter_chunks(self):
        """Yield all chunks in order.

        Raises:
            TransferError: the version is incomplete, or is superseded while
                it is read; the reader then receives a short body, never
                bytes of another version.
        """
        if not self._is_complete:
            raise errors.TransferError(
                f'version {self.manifest.version} is incomplete',
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
        """Drop all chunks and reject new ones: the version is superseded."""
        with self._lock:
            self._cancelled = True
            self._drop()

    def _drop(self):
        self._is_complete = False
        self._bitmap = 0
        self._chunks.clear()

    def _hash_prefix(self):
        # Hashes incrementally, so that the load order to the engine is not
        # delayed by hashing all weights after the last chunk.
        while self._n_hashed in self._chunks:
            self._hash.update(self._chunks[self._n_hashed])
            self._n_hashed += 1
        if self._n_hashed < len(self.manifest.chunks):
            return
        if self._hash.hexdigest() == self.manifest.digest:
            self._is_complete = True
            return
        # All chunks match but the total digest does not: the manifest is
        # inconsistent. Without this check, an engine would load weights that
        # were never published; an operator sees the error and no replica.
        self._cancelled = True
        self._drop()
        raise errors.CorruptChunkError(
            'digest of the complete weights does not match',
            step='verify whole',
        )
