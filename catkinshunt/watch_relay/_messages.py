"""JSON encoding of pages that one process relays to another."""

import base64
import binascii
import functools
import json
import zlib

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt.watch_relay import base


#: Minimum size of values that are compressed, in bytes.
COMPRESS_MIN_BYTES = 1024
#: zlib level; higher levels take several times as long.
COMPRESSION_LEVEL = 1
#: Maximum size of a decompressed value in bytes.
MAX_VALUE_BYTES = 8 << 20
#: Number of compressed values kept for sending to further processes.
COMPRESSED_CACHE_SIZE = 2


@attrs.frozen
class RelayedPage:
    """A page relayed by another process.

    Attributes:
        page: the `base.Page`, without its times.
        confirmed_ago_s: seconds between the latest confirmation that the
            page is up to date and its sending.
        waited_s: seconds for which the server held the request.
        changed_ago_s: seconds between `base.Page.changed_after` and the
            sending, or None if the server does not know it.
    """

    page: base.Page
    confirmed_ago_s: float
    waited_s: float
    changed_ago_s: float | None = None


_DECODE_ERRORS = (ValueError, KeyError, TypeError, binascii.Error, zlib.error)


def dump(relayed):
    """Return the JSON bytes of a `RelayedPage`."""
    page = relayed.page
    # The names in the document are part of the protocol.
    document = {
        'revision': page.revision.number,
        'era': page.revision.era,
        'proved_ago_s': relayed.confirmed_ago_s,
        'held_s': relayed.waited_s,
        'changed_ago_s': relayed.changed_ago_s,
        # Entries of an older release do not read `changed_ago_s`.
        'seen_ago_s': relayed.changed_ago_s or 0.0,
        'items': [_dump_item(item) for item in page.items],
    }
    return json.dumps(document, separators=(',', ':')).encode()


def _dump_item(item):
    value = item.value
    number = item.revision.number
    if value is None:
        return [item.key, number, None]
    if len(value) >= COMPRESS_MIN_BYTES:
        return [item.key, number, _compress(value), True]
    return [item.key, number, base64.b64encode(value).decode()]


@functools.lru_cache(maxsize=COMPRESSED_CACHE_SIZE)
def _compress(value):
    """Return `value` compressed and encoded as base64 text.

    Sent uncompressed to each process of a region, a large configuration
    occupies the sender's link for longer than the time between two edits.
    """
    return base64.b64encode(zlib.compress(value, COMPRESSION_LEVEL)).decode()


def _decompress(data):
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(data, MAX_VALUE_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f'value exceeds {MAX_VALUE_BYTES} bytes or is truncated'
        )
    return value


def load(data, peer):
    """Return the `RelayedPage` in `data`.

    Raises:
        errors.StoreUnavailableError: `data` is malformed.
    """
    try:
        document = checks.load_json(data)
        number = _check_int(document['revision'])
        # Entries of an older release send no era.
        era = _check_int(document.get('era', 0))
        page = base.Page(
            tuple(_load_item(era, *row) for row in document['items']),
            base.Revision(era, number),
        )
        changed_ago_s = document.get('changed_ago_s')
        return RelayedPage(
            page,
            float(document['proved_ago_s']),
            float(document['held_s']),
            None if changed_ago_s is None else float(changed_ago_s),
        )
    except _DECODE_ERRORS as exc:
        raise errors.StoreUnavailableError(
            f'relayed page is malformed: {exc!r}', step='read-page', peer=peer
        ) from exc


def _load_item(era, key, number, value, compressed=False):
    if not isinstance(key, str):
        raise TypeError('key is not a string')
    if value is not None:
        value = base64.b64decode(value, validate=True)
        value = _decompress(value) if compressed else value
    return base.Item(key, value, base.Revision(era, _check_int(number)))


def _check_int(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r} is not an integer')
    return value
