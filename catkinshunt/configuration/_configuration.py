"""One accepted revision of the rules."""

import functools
import hashlib
import zlib

import attrs

from catkinshunt import checks
from catkinshunt.configuration import _edits
from catkinshunt import errors
from catkinshunt import rules

#: Key of the configuration in the key-value service.
KEY = 'catkinshunt/configuration'
#: Largest value that the key-value service takes.
MAX_BYTES = 1_000_000
#: Edits kept with the configuration, and the bytes that they may take.
KEPT_EDITS = 64
KEPT_EDIT_BYTES = 64 * 1024
COMPRESSION_LEVEL = 6


@attrs.frozen(slots=False, eq=False, repr=False)
class Configuration:
    """The rules at one revision, with the last edits that led there.

    Args:
        revision: counter in the document, raised by each accepted edit; 0
            before the first.
        held: the rules in order as `EncodedRule`.
        edits: the last edits, oldest first.
    """

    revision: int = 0
    encoded_rules: tuple = ()
    edits: tuple = ()

    def __repr__(self):
        return f'Configuration(revision={self.revision})'

    @classmethod
    def from_bytes(cls, value, known=None):
        """Read the document as it is kept in the key-value service.

        Args:
            value: the document.
            known: an earlier `Configuration`. Where the edits in the
                document lead from it to the document, its rules are taken
                over and only the changed ones are read.

        Raises:
            errors.RuleError: the bytes are no accepted configuration.
        """
        try:
            document = checks.load_json(value)
            items = document['rules']
            edits = document.get('edits', ())
            found = cls(
                checks.check_count(document['revision'], 'revision'),
                edits=tuple(_edits.Edit.from_document(item) for item in edits),
            )
            replayed = known and known._replayed_to(found, value)
            if replayed is not None:
                return replayed
            held = (_edits.EncodedRule.from_document(item) for item in items)
            return attrs.evolve(found, encoded_rules=tuple(held))
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise errors.RuleError(
                f'not a configuration: {exc!r}', step='read-configuration'
            ) from exc

    @functools.cached_property
    def rule_set(self):
        """The rules as `rules.RuleSet`."""
        return rules.RuleSet(item.rule for item in self.encoded_rules)

    @functools.cached_property
    def document(self):
        """The document as bytes; equal configurations give equal bytes."""
        edits = b','.join(edit.line for edit in self.edits)
        lines = b','.join(item.line for item in self.encoded_rules)
        return b'{"edits":[%b],"revision":%d,"rules":[%b]}' % (
            edits,
            self.revision,
            lines,
        )

    @functools.cached_property
    def digest(self):
        """SHA-256 of the document."""
        return hashlib.sha256(self.document).digest()

    @functools.cached_property
    def deflated(self):
        """The document compressed; kept, as many may ask for it."""
        return zlib.compress(self.document, COMPRESSION_LEVEL)

    def edited(self, edit_id, operations):
        """Return the next revision, made by `operations`.

        Raises:
            errors.RuleError: an operation does not fit the rules.
        """
        edit = _edits.Edit(edit_id, self.revision + 1, operations)
        return self.replayed(edit)

    def replayed(self, edit):
        """Return the configuration that `edit` led to.

        Raises:
            errors.RuleError: the edit does not follow this revision.
        """
        if edit.revision != self.revision + 1:
            raise errors.RuleError(
                f'edit {edit.revision} does not follow {self.revision}',
                step='replay',
            )
        held = list(self.encoded_rules)
        for operation in edit.operations:
            operation.apply(held)
        edits = _last_edits((*self.edits, edit))
        return Configuration(edit.revision, tuple(held), edits)

    def _replayed_to(self, found, document):
        """Return this configuration after the edits of `found`.

        None is returned where these do not lead to `document`, byte for
        byte; then the whole of it has to be read.
        """
        edits = found.edits_after(self.revision)
        if not edits:
            return None
        try:
            replayed = functools.reduce(Configuration.replayed, edits, self)
        except errors.RuleError:
            return None
        return replayed if replayed.document == document else None

    def check(self, services=None):
        """Check the rules together, as before an edit is accepted.

        Raises:
            errors.RuleError: names every rule and field that is wrong.
        """
        document = rules.dump_rule_set(self.rule_set)
        rules.load_rule_set(document, services)
        if len(self.document) > MAX_BYTES:
            raise errors.RuleError(
                f'the rules take {len(self.document)} bytes; the key-value '
                f'service takes {MAX_BYTES}',
                step='check-rules',
            )

    def edits_after(self, revision):
        """Return the edits after `revision`, or None if some are not kept."""
        found = tuple(e for e in self.edits if e.revision > revision)
        if len(found) != max(0, self.revision - revision):
            return None
        return found

    def find_edit(self, edit_id):
        """Return the kept `Edit` with `edit_id`, or None."""
        for edit in self.edits:
            if edit.edit_id == edit_id:
                return edit
        return None


#: What a process holds before it has learnt of any configuration.
EMPTY = Configuration()


def _last_edits(edits):
    """Drop the oldest edits until the rest is within its bounds."""
    kept = edits[-KEPT_EDITS:]
    size = sum(len(edit.line) for edit in kept)
    while size > KEPT_EDIT_BYTES and len(kept) > 1:
        size -= len(kept[0].line)
        kept = kept[1:]
    return kept
