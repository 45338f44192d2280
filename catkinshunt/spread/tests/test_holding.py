import hashlib

from catkinshunt import spread
from catkinshunt.spread.tests import fakes
from catkinshunt import weights


def make_holding(chunks):
    digests = [hashlib.sha256(data).hexdigest() for data in chunks]
    holding = spread.Holding(fakes.MODEL, 2)
    holding.describe(
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
        holding.put(index, data)
    return holding


def test_members_that_ask_for_the_same_chunks_get_various_ones():
    """With the same one first, they have nothing to pass on to each other."""
    holding = make_holding([b'aa', b'bb', b'cc'])
    given = []
    for _ in range(6):
        index, _ = holding.find_any([0, 1, 2])
        holding.note_given(index)
        given.append(index)
    assert sorted(given[:3]) == sorted(given[3:]) == [0, 1, 2]
