import pytest

from catkinshunt.spread import _wait_graph


def test_two_that_ask_each_other_are_found():
    wait_graph = _wait_graph.WaitGraph()
    wait_graph.set_source(3, 'b')
    wait_graph.note_requester(3, 'b', now=1.0)
    assert wait_graph.find_cycle(3, 'a', now=1.2) == {'a', 'b'}


def test_all_of_a_loop_name_the_same_members():
    """Were each to name others, several would turn to the origin."""
    names = ('a', 'b', 'c')
    found = []
    for place, me in enumerate(names):
        source, last = names[(place + 1) % 3], names[(place + 2) % 3]
        wait_graph = _wait_graph.WaitGraph()
        wait_graph.set_source(3, source)
        wait_graph.extend_chain(3, source, (last, me))
        found.append(wait_graph.find_cycle(3, me, now=0.0))
    assert found == [set(names)] * 3


def test_who_asked_long_ago_waits_no_more():
    wait_graph = _wait_graph.WaitGraph()
    wait_graph.set_source(3, 'b')
    wait_graph.note_requester(3, 'b', now=1.0)
    assert (
        wait_graph.find_cycle(3, 'a', now=1.0 + _wait_graph.REQUEST_TTL_S)
        == set()
    )


def test_a_chain_that_ends_at_the_origin_is_no_loop():
    wait_graph = _wait_graph.WaitGraph()
    wait_graph.set_source(3, 'b')
    wait_graph.extend_chain(3, 'b', ('origin',))
    wait_graph.note_requester(3, 'c', now=1.0)
    assert wait_graph.find_cycle(3, 'a', now=1.0) == set()


def test_what_an_earlier_source_tells_is_left_aside():
    wait_graph = _wait_graph.WaitGraph()
    wait_graph.set_source(3, 'b')
    wait_graph.set_source(3, 'c')
    wait_graph.extend_chain(3, 'b', ('a',))
    assert wait_graph.find_cycle(3, 'a', now=0.0) == set()


@pytest.mark.parametrize('text', ['', '[]', '{"x": []}', '{"1": 2}', 'null'])
def test_unreadable_chains_are_refused(text):
    with pytest.raises(ValueError):
        _wait_graph.load_chains(text)


def test_chains_are_read_as_they_were_told():
    chains = {3: ('b', 'origin'), 40: ('c',)}
    assert _wait_graph.load_chains(_wait_graph.dump_chains(chains)) == chains
