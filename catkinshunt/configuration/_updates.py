"""What one process sends another to bring its configuration up to date."""

import zlib

from catkinshunt import checks
from catkinshunt.configuration import _configuration
from catkinshunt.configuration import _edits
from catkinshunt.dissemination import base
from catkinshunt import errors

#: Name of the document among those that processes hand on.
TOPIC = 'configuration'
#: Documents of rules deflate to no less than this part of their size.
MAX_COMPRESSION_RATIO = 25
#: Guards against a small message that unfolds into a huge document.
MAX_DOCUMENT_BYTES = 2 * _configuration.MAX_BYTES


def make_update(configuration, after_revision):
    """Return what brings a process at `after_revision` up to date.

    The edits are smaller by far for a process that is a few revisions
    behind; the whole document serves one that has just started.
    """
    if configuration.revision <= after_revision:
        return base.Update(TOPIC, configuration.revision)
    edits = None
    if after_revision > 0:
        edits = configuration.edits_after(after_revision)
    if edits is not None:
        lines = tuple(edit.encoded for edit in edits)
        # Deflating is left out where edits are sure to be smaller; a
        # document of 1,000 rules takes 10 ms, and every process hands on.
        size = sum(map(len, lines))
        small = MAX_COMPRESSION_RATIO * size <= len(configuration.document)
        if small or size <= len(configuration.deflated):
            return base.Update(
                TOPIC,
                configuration.revision,
                after_revision,
                lines,
                digest=configuration.digest,
            )
    compressed = configuration.deflated
    return base.Update(
        TOPIC,
        configuration.revision,
        document=compressed,
        digest=configuration.digest,
    )


def apply_update(configuration, update):
    """Return the configuration that `update` leads to.

    An update that is not newer leads to `configuration` itself.

    Args:
        configuration: the one in force.
        update: from another process.

    Raises:
        errors.PeerError: the update does not fit `configuration`, or does
            not lead to the document that its digest names.
    """
    if update.revision <= configuration.revision:
        return configuration
    try:
        if update.document:
            updated = _decompress(update.document)
        else:
            updated = _replay(configuration, update)
    except (ValueError, zlib.error, errors.RuleError) as exc:
        raise errors.PeerError(
            f'update {update.revision} cannot be applied: {exc}',
            step='apply-update',
        ) from exc
    # A process of another build may replay an edit differently. It would go
    # on with other rules than everybody else, and nobody would notice.
    if (updated.revision, updated.digest) != (update.revision, update.digest):
        raise errors.PeerError(
            f'update {update.revision} leads to another document',
            step='apply-update',
        )
    return updated


def _decompress(document):
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(document, MAX_DOCUMENT_BYTES)
    return _configuration.Configuration.from_bytes(data)


def _replay(configuration, update):
    for line in update.edits:
        edit = _edits.Edit.from_document(checks.load_json(line))
        if edit.revision > configuration.revision:
            configuration = configuration.replayed(edit)
    return configuration
