"""Configuration updates sent from one process to another."""

import zlib

from catkinshunt import checks
from catkinshunt.configuration import _configuration
from catkinshunt.configuration import _edits
from catkinshunt.dissemination import base
from catkinshunt import errors

#: Topic of the configuration among the replicated documents.
TOPIC = 'configuration'
#: Assumed maximum ratio by which a rules document can be compressed.
MAX_COMPRESSION_RATIO = 25
#: Protects against decompression bombs.
MAX_DOCUMENT_BYTES = 2 * _configuration.MAX_BYTES


def make_update(configuration, after_revision):
    """Return the update for a process at `after_revision`.

    It contains the edits, which are much smaller, if the process is a few
    revisions behind, and the complete document if it has just started. For
    a process that is not behind it only states the revision.
    """
    if configuration.revision <= after_revision:
        return base.Update(TOPIC, configuration.revision)
    edits = None
    if after_revision > 0:
        edits = configuration.edits_after(after_revision)
    if edits is not None:
        lines = tuple(edit.encoded for edit in edits)
        # The document is not compressed where the edits are assumed to
        # be smaller: compressing 1,000 rules takes 10 ms, in each process that
        # forwards the update.
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
    """Return the configuration after `update`.

    An update that is not newer yields `configuration` itself.

    Args:
        configuration: `Configuration` in force.
        update: `dissemination.base.Update` from another process.

    Raises:
        errors.PeerError: the update does not apply to `configuration`, or
            the result does not match its digest.
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
    # A process of another build may replay an edit differently. Without the
    # check it would silently use different rules from the other processes.
    if (updated.revision, updated.digest) != (update.revision, update.digest):
        raise errors.PeerError(
            f'update {update.revision} does not match its digest',
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
