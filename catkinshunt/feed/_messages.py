"""Pages between processes, as JSON."""

import base64
import binascii
import json

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt.feed import base


@attrs.frozen
class Told:
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


def dump(told):
    """Return a `Told` as bytes."""
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
    if value is not None:
        value = base64.b64encode(value).decode()
    return [item.key, item.revision, value]


def load(data, peer):
    """Return the `Told` in `data`.

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
        return Told(
            page,
            float(document['proved_ago_s']),
            float(document['held_s']),
        )
    except (ValueError, KeyError, TypeError, binascii.Error) as exc:
        raise errors.StoreUnavailableError(
            f'told an unknown page: {exc!r}', step='read-page', peer=peer
        ) from exc


def _load_item(key, revision, value):
    if not isinstance(key, str):
        raise TypeError('a key is no text')
    if value is not None:
        value = base64.b64decode(value, validate=True)
    return base.Item(key, value, _whole(revision))


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r} is no whole number')
    return value
