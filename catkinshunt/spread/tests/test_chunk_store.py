import hashlib

from catkinshunt import spread
from catkinshunt.spread.tests import fakes
from catkinshunt import weights


def make_chunk_store(chunks):
    digests = [hashlib.sha256(data).hexdigest() for data in chunks]
    chunk_store = spread.ChunkStore(fakes.MODEL, 2)
    chunk_store.set_manifest(
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


def test_equal_requests_receive_different_chunks():
    """Members that receive the same chunk first have nothing to exchange."""
    chunk_store = make_chunk_store([b'aa', b'bb', b'cc'])
    served = []
    for _ in range(6):
        index, _ = chunk_store.find_any([0, 1, 2])
        chunk_store.count_served(index)
        served.append(index)
    assert sorted(served[:3]) == sorted(served[3:]) == [0, 1, 2]


def test_a_version_is_evicted_only_for_newer_ones():
    """Whoever asks for an old version must get it, and evict no newer one."""
    version_store = spread.VersionStore(max_versions=2)
    for version in (3, 4, 2, 1):
        chunk_store = version_store.get_or_create(fakes.MODEL, version)
        assert chunk_store.version == version
    held = {each.version for each in version_store.of_model(fakes.MODEL)}
    assert held == {1, 3, 4}


def test_a_version_in_transfer_is_kept_beside_newer_ones():
    """Its transfer and its peers would miss it."""
    version_store = spread.VersionStore(max_versions=2)
    version_store.get_or_create(fakes.MODEL, 2).begin_transfer()
    for version in (3, 4, 5):
        version_store.get_or_create(fakes.MODEL, version)
    held = {each.version for each in version_store.of_model(fakes.MODEL)}
    assert held == {2, 4, 5}
