from catkinshunt import quarantine
from catkinshunt.quarantine import _traits


def test_part_is_not_taken_for_a_whole_request():
    """The digest of a part was that of a request with the same bytes."""
    part = quarantine.part_fingerprint('terms')
    wholes = [
        quarantine.fingerprint('', '', '', '', b'terms'),
        quarantine.fingerprint('terms', '', '', '', b''),
    ]
    assert len(part) == len(wholes[0])
    assert part not in wholes


def test_number_of_parts_is_bounded():
    """A request with thousands of parts filled all tables and datagrams."""
    parts = [str(number) for number in range(1000)]
    traits = quarantine.Traits('whole', ['a', 'a', *parts])
    assert traits.parts == ('a', *parts[: _traits.MAX_PARTS - 1])
    assert list(traits) == ['whole', *traits.parts]
