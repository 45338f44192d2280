import pytest

from catkinshunt.spread import _wait_graph


def test_two_that_ask_each_other_are_found():
    waits = _wait_graph.Waits()
    waits.ask(3, 'b')
    waits.note_asker(3, 'b', now=1.0)
    assert waits.loop(3, 'a', now=1.2) == {'a', 'b'}


def test_all_of_a_loop_name_the_same_members():
    """Were each to name others, several would turn to the origin."""
    names = ('a', 'b', 'c')
    found = []
    for place, me in enumerate(names):
        source, last = names[(place + 1) % 3], names[(place + 2) % 3]
        waits = _wait_graph.Waits()
        waits.ask(3, source)
        waits.hear(3, source, (last, me))
        found.append(waits.loop(3, me, now=0.0))
    assert found == [set(names)] * 3


def test_who_asked_long_ago_waits_no_more():
    waits = _wait_graph.Waits()
    waits.ask(3, 'b')
    waits.note_asker(3, 'b', now=1.0)
    assert waits.loop(3, 'a', now=1.0 + _wait_graph.ASKED_S) == set()


def test_a_chain_that_ends_at_the_origin_is_no_loop():
    waits = _wait_graph.Waits()
    waits.ask(3, 'b')
    waits.hear(3, 'b', ('origin',))
    waits.note_asker(3, 'c', now=1.0)
    assert waits.loop(3, 'a', now=1.0) == set()


def test_what_an_earlier_source_tells_is_left_aside():
    waits = _wait_graph.Waits()
    waits.ask(3, 'b')
    waits.ask(3, 'c')
    waits.hear(3, 'b', ('a',))
    assert waits.loop(3, 'a', now=0.0) == set()


@pytest.mark.parametrize('text', ['', '[]', '{"x": []}', '{"1": 2}', 'null'])
def test_unreadable_chains_are_refused(text):
    with pytest.raises(ValueError):
        _wait_graph.load_chains(text)


def test_chains_are_read_as_they_were_told():
    chains = {3: ('b', 'origin'), 40: ('c',)}
    assert _wait_graph.load_chains(_wait_graph.dump_chains(chains)) == chains
