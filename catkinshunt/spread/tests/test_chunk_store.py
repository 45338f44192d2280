import hashlib

from catkinshunt import spread
from catkinshunt.spread.tests import fakes
from catkinshunt import weights


def make_holding(chunks):
    digests = [hashlib.sha256(data).hexdigest() for data in chunks]
    chunk_store = spread.ChunkStore(fakes.MODEL, 2)
    chunk_store.describe(
        weights.Manifest(
            model=fakes.MODEL,
            version='2',
            size_bytes=sum(map(len, chunks)),
            chunk_bytes=len(chunks[0]),
            chunks=tuple(digests),
            digest='0' * 64,
        )
    )
    for index, data in enumerate(chunks):
        chunk_store.put(index, data)
    return chunk_store


def test_members_that_ask_for_the_same_chunks_get_various_ones():
    """With the same one first, they have nothing to pass on to each other."""
    chunk_store = make_holding([b'aa', b'bb', b'cc'])
    given = []
    for _ in range(6):
        index, _ = chunk_store.find_any([0, 1, 2])
        chunk_store.note_given(index)
        given.append(index)
    assert sorted(given[:3]) == sorted(given[3:]) == [0, 1, 2]
