"""Decodes the headers of upstreams' replies."""

import math

from catkinshunt import checks
from catkinshunt import dispatch
from catkinshunt.gateway import base

REQUEST_ID = 'Attempt-Id'
#: Signature of the upstream; a success without it does not count.
SIGNATURE = 'Server-Stamp'
#: Present if the upstream has not run the request.
NOT_EXECUTED = 'Not-Executed'
#: Running requests, waiting requests and slots, separated by commas.
LOAD = 'Instance-Load'
#: Requests per second that the upstream accepts from all entries together.
RATE_LIMIT = 'Server-Limit'
#: '1' if the upstream is leaving and takes no new requests.
LEAVING = 'Server-Leaving'
#: Seconds for which a rejecting upstream wants no request of this entry.
RETRY_AFTER = 'Retry-After'
#: Statuses with which an upstream turns a request away for a while.
REJECTION_STATUSES = (429, 503)
#: Most digits of a number.
MAX_DIGITS = 18
#: Headers that the platform specifies for replies, in lower case. Those not
#: decoded here are of no use to an entry; see docs/design/statements.md.
_PLATFORM_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        NOT_EXECUTED,
        LOAD,
        RATE_LIMIT,
        LEAVING,
        RETRY_AFTER,
        SIGNATURE,
        'Instance-Id',
        'At-Server',
        'Weight-Versions',
    )
)
#: Headers of HTTP that say nothing of the state of an upstream.
_HTTP_HEADERS = frozenset(
    """
    accept-ranges age allow cache-control connection content-disposition
    content-encoding content-language content-length content-location
    content-range content-type date etag expires keep-alive last-modified link
    location pragma server set-cookie strict-transport-security trailer
    transfer-encoding upgrade vary via www-authenticate
    """.split()
)
_KNOWN_HEADERS = _PLATFORM_HEADERS | _HTTP_HEADERS


def request_id(head):
    """Return the id of the request that an `http1.ReplyHead` answers.

    Returns:
        '' if it states none, or several.
    """
    found = head.headers.get_all(REQUEST_ID)
    return found[0].strip() if len(found) == 1 else ''


def decode(head):
    """Return the `base.ReplyInfo` of an `http1.ReplyHead`."""
    values, unknown = _sort_headers(head.headers)
    invalid = []

    def read(name, parse, default, fallback):
        """Return a parsed header, `default` if missing, else `fallback`."""
        found = values.get(name.lower())
        if found is None:
            return default
        try:
            return parse(_single(found))
        except ValueError:
            invalid.append(name)
            return fallback

    back_off_s = None
    if head.status in REJECTION_STATUSES:
        back_off_s = read(RETRY_AFTER, checks.parse_back_off_s, None, None)
    return base.ReplyInfo(
        request_id=request_id(head),
        is_signed=bool(_only(values, SIGNATURE)),
        not_executed=NOT_EXECUTED.lower() in values,
        misdirected=head.status == 421,
        load=_parse_load(_first(values, LOAD)),
        rate_limit_per_s=read(RATE_LIMIT, checks.parse_number, math.inf, None),
        is_leaving=read(LEAVING, _parse_flag, False, False),
        back_off_s=back_off_s,
        closes_connection='close' in _first(values, 'Connection').lower(),
        invalid_headers=tuple(invalid),
        unknown_headers=unknown,
    )


def is_count(text):
    """Return whether `text` is a number of digits only, and not too long.

    Examples:
        >>> is_count('12'), is_count('²'), is_count('1' * 5000)
        (True, False, False)
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def _sort_headers(headers):
    """Return the values of known headers by name, and the unknown names.

    The former names are in lower case.
    """
    values, unknown = {}, []
    for name, value in headers.items:
        lower = name.lower()
        if lower in _KNOWN_HEADERS:
            values.setdefault(lower, []).append(value)
        else:
            unknown.append(name)
    return values, tuple(unknown)


def _first(values, name):
    found = values.get(name.lower())
    return found[0] if found else ''


def _only(values, name):
    """Return the only value of a header; '' if it has none or several."""
    found = values.get(name.lower(), [])
    return found[0].strip() if len(found) == 1 else ''


def _single(found):
    """Return the only value of a header, which may stand there twice."""
    distinct = {value.strip() for value in found}
    if len(distinct) > 1:
        raise ValueError('several values')
    return distinct.pop()


def _parse_flag(text):
    if text not in ('0', '1'):
        raise ValueError(text)
    return text == '1'


def _parse_load(text):
    parts = text.split(',')
    if len(parts) != 3 or not all(is_count(part.strip()) for part in parts):
        return None
    return dispatch.Load(*map(int, parts))
