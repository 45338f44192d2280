"""Tests of the store of verified chunks."""

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from catkinshunt import errors
from catkinshunt import weights

DATA = bytes(range(100))
MANIFEST = weights.Manifest.from_bytes('drafts', '7', DATA, 16)
PARTS = [DATA[i : i + 16] for i in range(0, 100, 16)]


def test_a_corrupt_chunk_is_never_held():
    """A chunk arrives with a flipped bit.

    If it were held, the instance would pass it on and the engine would load
    wrong weights.
    """
    store = weights.ChunkStore(MANIFEST)
    wrong = bytes([PARTS[0][0] ^ 1]) + PARTS[0][1:]
    for data in (wrong, PARTS[0][:-1], PARTS[1], b''):
        with pytest.raises(errors.CorruptChunkError):
            store.offer(0, data)
    assert store.get(0) is None
    assert store.bitmap == 0


@hypothesis.settings(derandomize=True, database=None, max_examples=50)
@hypothesis.given(st.permutations(range(len(PARTS))))
def test_whole_only_with_the_last_chunk_in_any_order(order):
    store = weights.ChunkStore(MANIFEST)
    for index in order:
        assert not store.whole
        with pytest.raises(errors.TransferError, match='not whole'):
            next(store.iter_chunks())
        store.offer(index, PARTS[index])
    assert b''.join(store.iter_chunks()) == DATA


def test_chunks_that_fit_a_wrong_whole_are_dropped():
    """A manifest lists good chunks with the whole digest of other weights.

    The engine would be told to load weights that nobody published.
    """
    store = weights.ChunkStore(attrs.evolve(MANIFEST, digest='0' * 64))
    for index, part in enumerate(PARTS[:-1]):
        store.offer(index, part)
    with pytest.raises(errors.CorruptChunkError, match='whole'):
        store.offer(6, PARTS[6])
    assert not store.whole
    assert store.get(0) is None


def test_a_superseded_version_is_dropped_while_it_is_read():
    """A new version is accepted while an engine still reads the old one.

    The engine must see a short body, and no chunk of the old version may be
    taken or served any more.
    """
    store = weights.ChunkStore(MANIFEST)
    for index, part in enumerate(PARTS):
        store.offer(index, part)
    reader = store.iter_chunks()
    assert next(reader) == PARTS[0]
    store.cancel()
    with pytest.raises(errors.TransferError, match='superseded'):
        list(reader)
    with pytest.raises(errors.TransferError, match='superseded'):
        store.offer(0, PARTS[0])
    assert store.get(0) is None
