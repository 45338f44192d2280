"""Brings what items of the store say into a catalog."""

from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt import quarantine

_log = logs.get_logger('store')


def apply_configuration(item, catalog):
    """Put the operator's configuration into force; keep the old if bad."""
    if item.value is None:
        return
    try:
        catalog.declare(_documents.parse_declaration(item.value))
    except _documents.InvalidDocumentError as exc:
        _log.error('Kept the old configuration: {}.', exc)


def apply_version(item, catalog, since, found=False):
    """Note the version that the operator named.

    Args:
        item: `Item` that names it.
        catalog: `catalog.Catalog`.
        since: seconds on the clock of the catalog when it was named.
        found: it may have been named long before that.
    """
    if item.value is None:
        return
    try:
        model, version = _documents.parse_version(item.value)
    except _documents.InvalidDocumentError as exc:
        _log.error('Left aside {}: {}.', item.key, exc)
        return
    catalog.add_named_version(model, version, since, found)


def apply_pending(item, catalog, now):
    """Note whether a version is not due yet.

    Args:
        item: `Item` of the key that shows it.
        catalog: `catalog.Catalog`.
        now: seconds on the clock of the catalog.
    """
    try:
        model, version = _documents.parse_pending_key(item.key)
    except _documents.InvalidDocumentError as exc:
        _log.warning('Left aside {}: {}.', item.key, exc)
        return
    if item.value is None:
        catalog.end_pending(model, version)
    else:
        catalog.mark_pending(model, version, now)


def apply_quarantine(item, barred, now):
    """Bar the request that the store names.

    Args:
        item: `Item` of its key.
        barred: `quarantine.Quarantine`.
        now: seconds on the clock of the quarantine.
    """
    if item.value is None:
        return
    try:
        for_s = _documents.parse_quarantine(item.value)
    except _documents.InvalidDocumentError as exc:
        _log.warning('Left aside {}: {}.', item.key, exc)
        return
    request = item.key.removeprefix(_documents.QUARANTINE_PREFIX)
    barred.add(request, min(for_s, quarantine.QUARANTINE_S), now)


def parse_home_or_none(item):
    """Return the `catalog.EntryLocation` of an entry's item, or None for none.

    An entry that does not tell it is there all the same.
    """
    try:
        return _documents.parse_home(item.value)
    except _documents.InvalidDocumentError:
        return None


def parse_upstream_or_none(item):
    """Return the `catalog.Upstream` of an item, or None for none."""
    if item.value is None:
        return None
    try:
        return _documents.parse_upstream(upstream_id(item), item.value)
    except _documents.InvalidDocumentError as exc:
        _log.warning('Left aside the entry {}: {}.', item.key, exc)
        return None


def parse_valid_upstreams(items):
    """Return the `catalog.Upstream` of all items that name one."""
    decoded = map(parse_upstream_or_none, items)
    return [upstream for upstream in decoded if upstream is not None]


def upstream_id(item):
    """Return the id of the upstream that an item is about."""
    return item.key.removeprefix(_documents.UPSTREAM_PREFIX)
