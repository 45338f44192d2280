"""Pages between processes, as JSON."""

import base64
import binascii
import functools
import json
import zlib

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt.feed import base


#: Values from this size on are compressed, in bytes.
PACKED_FROM_BYTES = 1024
#: Level of the compression; higher ones take several times as long.
LEVEL = 1
#: Largest value that is taken from another process, in bytes.
MOST_VALUE_BYTES = 8 << 20
#: Packed values that are kept, to be told to several processes.
KEPT_PACKED = 2


@attrs.frozen
class RelayedPage:
    """A page as another process told it.

    Attributes:
        page: the `base.Page`, without times.
        proved_ago_s: seconds before it was sent at which nothing newer was
            there for certain.
        held_s: seconds for which the request waited for it.
    """

    page: base.Page
    proved_ago_s: float
    held_s: float


_UNREADABLE = (ValueError, KeyError, TypeError, binascii.Error, zlib.error)


def dump(told):
    """Return a `RelayedPage` as bytes."""
    page = told.page
    document = {
        'revision': page.revision,
        'proved_ago_s': told.proved_ago_s,
        'held_s': told.held_s,
        'seen_ago_s': page.seen_ago_s,
        'items': [_dump_item(item) for item in page.items],
    }
    return json.dumps(document, separators=(',', ':')).encode()


def _dump_item(item):
    value = item.value
    if value is None:
        return [item.key, item.revision, None]
    if len(value) >= PACKED_FROM_BYTES:
        return [item.key, item.revision, _pack(value), True]
    return [item.key, item.revision, base64.b64encode(value).decode()]


@functools.lru_cache(maxsize=KEPT_PACKED)
def _pack(value):
    """Return `value` compressed, as text.

    A large configuration, told to each process of a region as it is, takes
    longer on the link of the one that tells than the time between two edits.
    """
    return base64.b64encode(zlib.compress(value, LEVEL)).decode()


def _unpack(data):
    unpacker = zlib.decompressobj()
    value = unpacker.decompress(data, MOST_VALUE_BYTES)
    if not unpacker.eof:
        raise ValueError(
            f'a value of over {MOST_VALUE_BYTES} bytes, or a part of one'
        )
    return value


def load(data, peer):
    """Return the `RelayedPage` in `data`.

    Raises:
        errors.StoreUnavailableError: it is none.
    """
    try:
        document = checks.load_json(data)
        page = base.Page(
            tuple(_load_item(*row) for row in document['items']),
            _whole(document['revision']),
            seen_ago_s=float(document['seen_ago_s']),
        )
        return RelayedPage(
            page,
            float(document['proved_ago_s']),
            float(document['held_s']),
        )
    except _UNREADABLE as exc:
        raise errors.StoreUnavailableError(
            f'told an unknown page: {exc!r}', step='read-page', peer=peer
        ) from exc


def _load_item(key, revision, value, packed=False):
    if not isinstance(key, str):
        raise TypeError('a key is no text')
    if value is not None:
        value = base64.b64decode(value, validate=True)
        value = _unpack(value) if packed else value
    return base.Item(key, value, _whole(revision))


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r} is no whole number')
    return value
