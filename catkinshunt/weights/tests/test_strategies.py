"""Tests of the choice of chunks, sources and owners."""

import collections

import pytest

from catkinshunt import weights

N_CHUNKS = 40
MEMBERS = tuple(
    weights.Member(f'instance-{i}', f'dc-{i % 2}') for i in range(20)
)
NAMES = tuple(one.name for one in MEMBERS)


def make_view(own_name, members=MEMBERS):
    return weights.TransferView(own_name, members, N_CHUNKS)


def make_swarm(**params):
    params = {'random_state': 1, 'takeover_s': 10.0, **params}
    return weights.SwarmStrategy(**params)


def drain(strategy, view, now):
    """Return all pulls that `strategy` chooses at `now`."""
    pulls = []
    while (pull := strategy.choose(view, now)) is not None:
        view.begin(pull)
        pulls.append(pull)
    return pulls


def test_rarest_chunk_comes_from_the_least_loaded_holder():
    strategy = make_swarm(n_neighbours=3, origin_copy_s=1e6)
    view = make_view('instance-0')
    a, b, c = strategy.neighbours(view, 0.0)
    view.observe(a, 0b0111, 0.5, 0.0)
    view.observe(b, 0b0101, 0.2, 0.0)
    view.observe(c, 0b0001, 0.0, 0.0)
    assert strategy.choose(view, 0.0) == weights.Pull(1, a)
    view.begin(weights.Pull(1, a))
    assert strategy.choose(view, 0.0) == weights.Pull(2, b)


def test_neighbours_are_bounded_and_skip_failed_and_depleted_peers():
    strategy = make_swarm(n_neighbours=4)
    view = make_view('instance-0')
    first = strategy.neighbours(view, 0.0)
    assert len(first) == 4
    view.avoid(first[0], 0.0, 5.0)
    view.observe(first[1], 0, 1.04, 0.0)
    later = strategy.neighbours(view, 1.0)
    assert len(later) == 4
    assert not {first[0], first[1]} & set(later)
    assert first[0] in strategy.neighbours(view, 6.0)


@pytest.mark.parametrize(('lean', 'copies'), [(0, 1), (0.5, 2.5), (1, 4)])
def test_lean_sets_the_origin_copies(lean, copies):
    copy_counts = collections.Counter()
    for name in NAMES:
        strategy = make_swarm(
            lean=lean, origin_copy_s=1e-6, max_pulls=N_CHUNKS
        )
        for pull in drain(strategy, make_view(name), 1.0):
            if pull.peer == weights.ORIGIN:
                copy_counts[pull.chunk] += 1
    assert len(copy_counts) == N_CHUNKS
    assert sum(copy_counts.values()) / N_CHUNKS == pytest.approx(
        copies, abs=0.4
    )
    assert max(copy_counts.values()) <= 4


def test_origin_fetches_are_spread_over_the_time_of_one_copy():
    """All instances start the transfer of a version at the same time.

    If each fetched its chunks at once, the origin's link would be shared
    among all of them, and for long no instance would have a complete chunk to
    send.
    """
    early = [
        pull
        for name in NAMES
        for pull in drain(make_swarm(origin_copy_s=1.0), make_view(name), 0.25)
        if pull.peer == weights.ORIGIN
    ]
    assert 0 < len(early) <= N_CHUNKS * 0.3


def find_owner(chunk):
    """Return the name of the owner of `chunk`."""
    for name in NAMES:
        view = make_view(name)
        strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
        pulls = drain(strategy, view, 1.0)
        if weights.Pull(chunk, weights.ORIGIN) in pulls:
            return name
    raise AssertionError('no instance fetches the chunk')


def test_failed_owner_is_replaced_without_a_stampede():
    """The owner of a chunk dies before it has fetched it.

    All other instances miss that chunk. They try the owners that rank before
    them, and only the first one alive uses the origin; otherwise the origin
    would send one copy to each of them.
    """
    owner = find_owner(3)
    to_origin = []
    for name in NAMES:
        if name == owner:
            continue
        strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
        view = make_view(name)
        all_chunks = (1 << N_CHUNKS) - 1
        view.bitmap = all_chunks & ~(1 << 3)
        view.avoid(owner, 0.0, 1000.0)
        pulls = drain(strategy, view, 15.0)
        if pulls == [weights.Pull(3, weights.ORIGIN)]:
            to_origin.append(name)
    assert len(to_origin) <= 2


def test_chunk_held_by_a_peer_is_not_fetched_from_the_origin():
    """A chunk is late at an instance only because its holders are busy.

    Fetching it from the origin would cost origin bytes exactly when all links
    are full.
    """
    strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
    view = make_view('instance-0')
    drain(strategy, view, 1.0)
    peer = strategy.neighbours(view, 1.0)[0]
    view.observe(peer, (1 << N_CHUNKS) - 1, 0.0, 1e6)
    view.peer(peer).busy_until = 1e9
    view.progress_at = 1e6
    assert drain(strategy, view, 1e6 + 1.0) == []


def test_permanently_busy_holders_do_not_block_a_transfer():
    """Peers report that they have the last chunk, but are always busy.

    An instance that kept waiting for them would never complete.
    """
    strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
    view = make_view('instance-0')
    peer = strategy.neighbours(view, 0.0)[0]
    view.observe(peer, (1 << N_CHUNKS) - 1, 0.0, 110.0)
    view.peer(peer).busy_until = 1e9
    sources = {pull.peer for pull in drain(strategy, view, 110.0)}
    assert weights.ORIGIN in sources


def test_stale_state_of_a_dead_owner_does_not_stop_failover():
    """The owner dies just after it fetched a chunk and reported it to a peer.

    The peer no longer queries the dead owner, so with its stale bitmap it
    never fetched the chunk, and the transfer never completed.
    """
    owner = find_owner(3)
    for name in NAMES:
        if name == owner:
            continue
        strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
        view = make_view(name)
        view.bitmap = ((1 << N_CHUNKS) - 1) & ~(1 << 3)
        view.observe(owner, 1 << 3, 2.0, 1.0)
        view.peer(owner).busy_until = 0.0
        assert drain(strategy, view, 1e6) != []


def test_ordered_strategies_skip_a_failed_parent():
    """The parent of an instance dies.

    Its children must continue with the next ancestor, or the subtree would
    never complete.
    """
    for strategy in (
        weights.ChainStrategy(),
        weights.TreeStrategy(),
        weights.StripedStrategy(),
    ):
        for name in NAMES:
            view = make_view(name)
            for dead in strategy.neighbours(view, 0.0):
                view.avoid(dead, 0.0, 1000.0)
            after = strategy.neighbours(view, 1.0)
            assert all(view.is_usable(peer, 1.0) for peer in after)


def test_stripes_have_disjoint_interiors():
    strategy = weights.StripedStrategy(n_stripes=4)
    interior = collections.defaultdict(set)
    for name in NAMES:
        for stripe in range(4):
            parents = strategy.parents(list(NAMES), name, stripe)
            for parent in parents[:1]:
                interior[parent].add(stripe)
    assert max(len(stripes) for stripes in interior.values()) == 1


def test_new_member_list_keeps_peer_state():
    view = make_view('instance-0')
    view.observe('instance-1', 0b11, 0.5, 0.0)
    view.set_members(MEMBERS[:5])
    assert view.peer('instance-1').bitmap == 0b11
    assert not view.is_usable('instance-9', 0.0)


def test_owner_retries_a_holder_in_another_data_centre():
    """An owner requests a chunk from an instance of another data centre.

    If the reply made the chunk count as held by a neighbour, the owner would
    request it again only when the reply was old, and its data centre would
    wait.
    """
    n_retries = 0
    for own_name in NAMES:
        strategy = make_swarm(origin_copy_s=1e-6, max_pulls=N_CHUNKS)
        view = make_view(own_name)
        for pull in drain(strategy, view, 1.0):
            if pull.peer == weights.ORIGIN:
                continue
            view.observe(pull.peer, 1 << pull.chunk, 0.0, 1.0)
            view.postpone(pull, 2.0)
            again = drain(strategy, view, 2.0)
            assert pull.chunk in {one.chunk for one in again}
            n_retries += 1
            break
    assert n_retries
