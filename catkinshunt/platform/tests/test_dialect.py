import math

import pytest

from catkinshunt import errors
from catkinshunt import gateway
from catkinshunt import http1
from catkinshunt import platform

DIALECT = platform.PlatformDialect()


def request(*items):
    items = [('Host', 'Shop.example:80'), *items]
    return http1.Request('GET', '/a/b?c=1', http1.Headers(items))


def test_decode_request():
    info = DIALECT.decode_request(
        request(
            ('Attempt-Id', 'a1'),
            ('Deadline-Ms', '1500'),
            ('Key', 'k1'),
            ('Token-Counts', '1460,80'),
            ('Last-Event-Id', '12'),
        )
    )
    assert info == gateway.RequestInfo(
        id='a1',
        host='shop.example',
        path='/a/b',
        deadline_s=1.5,
        api_key='k1',
        tokens_in=1460,
        tokens_out=80,
        last_event_id='12',
    )


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('Deadline-Ms', 'soon'),
        ('Deadline-Ms', '-5'),
        ('Token-Counts', '12'),
        ('Token-Counts', 'a,b'),
        ('Last-Event-Id', 'x'),
    ],
)
def test_invalid_header_counts_as_missing(name, value):
    assert DIALECT.decode_request(
        request((name, value))
    ) == DIALECT.decode_request(request())


def decode_parts(*values):
    """Return the decoded and the left out entries of `Prompt-Prefix`."""
    info = DIALECT.decode_request(
        request(*(('Prompt-Prefix', value) for value in values))
    )
    return info.prompt_parts, len(info.omitted_parts)


def test_decode_prompt_parts():
    """The last part belongs to the request itself or to its session."""
    parts, omitted = decode_parts('5c1e07a2:800, 91bd3f06:410,e4402b7d:250')
    assert parts == ('5c1e07a2', '91bd3f06')
    assert omitted == 0
    assert decode_parts('e4402b7d:250') == ((), 0)
    assert decode_parts() == ((), 0)


def test_case_of_prompt_parts_does_not_matter():
    """One part in two spellings would be taken for two."""
    assert decode_parts('5C1E07A2:8,e4:1') == decode_parts('5c1e07a2:8,e4:1')


@pytest.mark.parametrize(
    ('values', 'parts', 'omitted'),
    [
        (['a1:8,xyz:3,b2:4,e4:1'], ('a1', 'b2'), 1),
        (['a1:8,:3,b2:x,c3,d4:1:2,e4:1'], ('a1',), 4),
        (['a1:8,0xb2:3,-c3:1,d4:-1,e4:1'], ('a1',), 3),
        (['a1:8,\u0661:3,b2:\u0661,e4:1'], ('a1',), 2),
        (['a1:8,,b2:1, ,e4:1,'], ('a1', 'b2'), 3),
        (['a1:8,b2:1,A1:8,e4:1'], ('a1', 'b2'), 1),
        (['a1:8,E4:1,b2:1,e4:1'], ('a1', 'b2'), 1),
        (['a1:8,' + 'f' * 65 + ':1,e4:1'], ('a1',), 1),
        (['a1:8,b2:1,no part'], ('a1', 'b2'), 1),
        (['a1:8', 'b2:1,e4:1'], ('a1', 'b2'), 0),
        ([''], (), 0),
        ([',,'], (), 3),
        (['\xff\xfe'], (), 1),
    ],
)
def test_unusable_prompt_parts_are_left_out(values, parts, omitted):
    """They must fail no request, and blame no other part."""
    assert decode_parts(*values) == (parts, omitted)


def test_number_of_prompt_parts_is_bounded():
    """A prompt of thousands of parts would push out other suspects."""
    many = ','.join(f'{number:x}:1' for number in range(1, 2000))
    parts, omitted = decode_parts(many)
    assert parts == tuple(f'{number:x}' for number in range(1, 17))
    assert omitted == 1


def test_prompt_parts_are_forwarded_unchanged():
    """Upstreams look up the parts in their caches."""
    value = '5C1E07A2:800,bad, 91bd3f06:410,e4402b7d:250'
    req = request(('Prompt-Prefix', value))
    info = DIALECT.decode_request(req)
    items = DIALECT.upstream_headers(req, info, gateway.AttemptInfo('i', 1.0))
    assert dict(items)['Prompt-Prefix'] == value


def test_two_host_headers_are_rejected():
    """The gateway and an upstream could each use a different one of them."""
    with pytest.raises(errors.InvalidRequestError):
        DIALECT.decode_request(request(('Host', 'other.example')))


def test_hop_by_hop_headers_are_not_forwarded():
    req = request(
        ('Connection', 'close, X-Hop'),
        ('X-Hop', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('Expect-Version', '9'),
        ('Request-Priority', '0'),
        ('X-Kept', 'yes'),
    )
    info = DIALECT.decode_request(req)
    items = DIALECT.upstream_headers(
        req, info, gateway.AttemptInfo('i-1', 0.0004)
    )
    assert dict(items) == {
        'Host': 'Shop.example:80',
        'X-Kept': 'yes',
        'Deadline-Ms': '1',
        'Expect-Instance': 'i-1',
    }


def test_decode_reply():
    head = http1.ReplyHead(
        503,
        http1.Headers(
            [
                ('Attempt-Id', 'a1'),
                ('Not-Executed', '1'),
                ('Instance-Load', '3,0,8'),
                ('Connection', 'Close'),
            ]
        ),
    )
    note = DIALECT.decode_reply(head)
    assert note.not_executed
    assert note.closes_connection
    assert (note.load.running, note.load.slots) == (3, 8)
    assert DIALECT.decode_reply(http1.ReplyHead(200)).load is None


@pytest.mark.parametrize(
    ('items', 'per_s'),
    [
        ([], math.inf),
        ([('Server-Limit', '1.8')], 1.8),
        ([('Server-Limit', '0')], 0.0),
        ([('Server-Limit', '-1')], None),
        ([('Server-Limit', 'nan')], None),
        ([('Server-Limit', 'inf')], None),
        ([('Server-Limit', '1,8')], None),
        ([('Server-Limit', '1_0')], None),
        ([('Server-Limit', '\u0661')], None),
        ([('Server-Limit', '9e999')], None),
        ([('Server-Limit', '1'), ('Server-Limit', '2')], None),
    ],
)
def test_decode_rate_limit(items, per_s):
    """An invalid limit must neither count nor end the one in force."""
    head = http1.ReplyHead(200, http1.Headers(items))
    assert DIALECT.decode_reply(head).rate_limit_per_s == per_s


def decode(status, *items):
    return DIALECT.decode_reply(http1.ReplyHead(status, http1.Headers(items)))


@pytest.mark.parametrize(
    ('value', 'is_leaving', 'invalid'),
    [('1', True, ()), ('0', False, ()), ('soon', False, ('Server-Leaving',))],
)
def test_decode_leaving(value, is_leaving, invalid):
    """An upstream that leaves would go on getting requests."""
    info = decode(200, ('Server-Leaving', value))
    assert (info.is_leaving, info.invalid_headers) == (is_leaving, invalid)


@pytest.mark.parametrize(
    ('status', 'value', 'back_off_s'),
    [
        (503, '3', 3.0),
        (503, '0.25', 0.25),
        (503, '0', 0.0),
        (429, '2', 2.0),
        (500, '3', None),
        (200, '3', None),
    ],
)
def test_decode_back_off(status, value, back_off_s):
    """An upstream that asks for back-off would go on getting requests."""
    assert decode(status, ('Retry-After', value)).back_off_s == back_off_s


@pytest.mark.parametrize(
    'value',
    ['-1', 'nan', 'inf', '1_0', '\u0663', '86401', '9e999', '', 'soon'],
)
def test_invalid_back_off_is_named(value):
    """A back-off that cannot be read must not shorten or lengthen one."""
    info = decode(503, ('Retry-After', value))
    assert info.back_off_s is None
    assert info.invalid_headers == ('Retry-After',)


def test_contradictory_back_offs_are_invalid():
    info = decode(503, ('Retry-After', '1'), ('Retry-After', '9'))
    assert info.back_off_s is None
    assert info.invalid_headers == ('Retry-After',)


def test_unknown_headers_are_named():
    """A new statement of upstreams would be ignored without a trace."""
    info = decode(200, ('Server-Mood', 'low'), ('Date', 'today'))
    assert info.unknown_headers == ('Server-Mood',)


@pytest.mark.parametrize('text', ['\xb2', '1\xb9', '7' * 5000, '+1', '1_0'])
def test_unreadable_number_raises_no_unexpected_error(text):
    """One wrong bit in a digit would end a request without a reply."""
    info = DIALECT.decode_request(
        request(
            ('Deadline-Ms', text),
            ('Token-Counts', f'{text},{text}'),
            ('Length-Hint', text),
            ('Last-Event-Id', text),
        )
    )
    assert info.deadline_s is None
    assert (info.tokens_in, info.tokens_out) == (0, 0)
    assert info.last_event_id == ''
    items = [('Instance-Load', f'{text},{text},{text}')]
    reply = http1.ReplyHead(200, http1.Headers(items))
    assert DIALECT.decode_reply(reply).load is None
