"""Applies items of the store to the catalog and the quarantine."""

from catkinshunt import logs
from catkinshunt.platform import _documents
from catkinshunt import quarantine

#: Seconds by which the Unix times of two machines may differ.
MAX_CLOCK_SKEW_S = 1.0

_log = logs.get_logger('store')


def apply_configuration(item, catalog):
    """Apply the operator's configuration; keep the old one if invalid."""
    for _ in configuration_steps(item, catalog):
        pass


def configuration_steps(item, catalog):
    """Do the same as `apply_configuration` in steps.

    The configuration is applied as a whole in the last step.

    Yields:
        None, at the end of each step.
    """
    if item.value is None:
        return
    try:
        declaration = yield from _documents.declaration_steps(
            item.value, catalog.declaration
        )
    except _documents.InvalidDocumentError as exc:
        _log.error('Kept the old configuration: {}.', exc)
        return
    catalog.declare(declaration)


def apply_version(item, catalog, announced_after, now, found=False):
    """Add the version that the operator announced to the catalog.

    Args:
        item: `Item` that announces it.
        catalog: `catalog.Catalog`.
        announced_after: seconds on the clock of the catalog after which it
            was announced; minus infinity if that may be long ago, which
            makes the version due.
        now: present time in seconds on the same clock.
        found: the item was found by a read rather than by a watch, so the
            version may have been announced long before that time. Only
            `StoreView.expires_at` uses it.
    """
    if item.value is None:
        return
    try:
        model, version = _documents.parse_version(item.value)
    except _documents.InvalidDocumentError as exc:
        _log.error('Ignored the invalid item {}: {}.', item.key, exc)
        return
    is_new = catalog.add_announced_version(
        model, version, announced_after, found
    )
    if is_new:
        # The operator sees the most by which this process learned of it late.
        _log.info(
            'Version {} of {} counts from {:.2f} s ago.',
            version,
            model,
            now - announced_after,
        )


def apply_pending(item, catalog, now):
    """Mark a version as pending or, if its key was deleted, as due.

    See `_documents.PENDING_PREFIX` for both terms.

    Args:
        item: `Item` of the key that marks the version as pending.
        catalog: `catalog.Catalog`.
        now: seconds on the clock of the catalog.
    """
    try:
        model, version = _documents.parse_pending_key(item.key)
        previous = _documents.parse_pending(item.value)
    except _documents.InvalidDocumentError as exc:
        _log.warning('Ignored the invalid item {}: {}.', item.key, exc)
        return
    if item.value is None:
        catalog.end_pending(model, version)
    else:
        catalog.mark_pending(model, version, now, previous)


def apply_quarantine(item, quarantined, now):
    """Quarantine the request whose fingerprint the item's key holds.

    Args:
        item: `Item` of the request's key.
        quarantined: `quarantine.Quarantine`.
        now: seconds on the clock of the quarantine.
    """
    if item.value is None:
        return
    try:
        for_s = _documents.parse_quarantine(item.value)
    except _documents.InvalidDocumentError as exc:
        _log.warning('Ignored the invalid item {}: {}.', item.key, exc)
        return
    fingerprint = item.key.removeprefix(_documents.QUARANTINE_PREFIX)
    quarantined.add(fingerprint, min(for_s, quarantine.QUARANTINE_S), now)


def apply_suspect(item, quarantined, now, unix_time):
    """Record the crashes in the item of a suspect.

    Their ages count from the time of writing, which is in Unix time. If the
    time since then is not possible, a clock was set, and nothing is recorded.
    With a wrong time, a crash that other entries report too would count twice.

    Args:
        item: `Item` of the suspect's key.
        quarantined: `quarantine.Quarantine`.
        now: seconds on the clock of the quarantine.
        unix_time: present Unix time in seconds.
    """
    if item.value is None:
        return
    try:
        written_at, reports = _documents.parse_suspect(item.value)
    except _documents.InvalidDocumentError as exc:
        _log.warning('Ignored the invalid item {}: {}.', item.key, exc)
        return
    elapsed_s = unix_time - written_at
    max_s = _documents.SUSPECT_LEASE_S + MAX_CLOCK_SKEW_S
    if not -MAX_CLOCK_SKEW_S <= elapsed_s <= max_s:
        _log.warning(
            'Ignored the item {}: it was written {:.1f} s ago by the clock of'
            ' this machine.',
            item.key,
            elapsed_s,
        )
        return
    for report in reports:
        ago_s = report.ago_s + max(0.0, elapsed_s)
        has_parts = isinstance(report, quarantine.PartsCrashReport)
        parts = report.parts_of if has_parts else None
        quarantined.record_crash(
            report.upstream,
            report.run_s,
            report.service_size,
            now - ago_s,
            now,
            parts,
        )
    _log.info(
        'Restored {} crashes of the suspect {}.',
        len(reports),
        item.key.removeprefix(_documents.SUSPECT_PREFIX),
    )


def parse_location_or_none(item):
    """Return the `catalog.EntryLocation` of an entry's item, or None.

    An entry without a valid location still counts as live.
    """
    try:
        return _documents.parse_location(item.value)
    except _documents.InvalidDocumentError:
        return None


def parse_upstream_or_none(item):
    """Return the `catalog.Upstream` of an item.

    Returns:
        None if the item is deleted or invalid.
    """
    if item.value is None:
        return None
    try:
        return _documents.parse_upstream(upstream_id(item), item.value)
    except _documents.InvalidDocumentError as exc:
        _log.warning('Ignored the invalid upstream {}: {}.', item.key, exc)
        return None


def parse_valid_upstreams(items):
    """Return the `catalog.Upstream` of each valid item."""
    parsed = map(parse_upstream_or_none, items)
    return [upstream for upstream in parsed if upstream is not None]


def upstream_id(item):
    """Return the id of the upstream that an item describes."""
    return item.key.removeprefix(_documents.UPSTREAM_PREFIX)
