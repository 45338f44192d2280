from catkinshunt import http1


class CountedName(str):
    """A name that counts how often it is compared."""

    lowered = 0

    def lower(self):
        type(self).lowered += 1
        return super().lower()


def test_fields_are_compared_once_for_all_names():
    """Thousands of short fields would cost milliseconds for each name."""
    headers = http1.Headers([(CountedName('A'), '')] * 4000)
    for number in range(12):
        headers.get(f'x-{number}')
        headers.get_all(f'x-{number}')
    assert CountedName.lowered <= 4000


def test_first_value_and_all_values_are_found():
    headers = http1.Headers([('A', '1'), ('b', '2'), ('a', '3')])
    assert headers.get('a') == '1'
    assert headers.get_all('A') == ['1', '3']
    assert headers.get('c', 'none') == 'none'
    assert headers.get_all('c') == []
