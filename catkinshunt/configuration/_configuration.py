"""One accepted revision of the rules and its document."""

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
#: Maximum size of a value in the key-value service.
MAX_BYTES = 1_000_000
#: Maximum number and total size of the edits stored with a configuration.
MAX_EDITS = 64
MAX_EDIT_BYTES = 64 * 1024
COMPRESSION_LEVEL = 6


@attrs.frozen(slots=False, eq=False, repr=False)
class Configuration:
    """The rules at one revision, with the latest edits.

    Args:
        revision: counter in the document, incremented by each accepted
            edit; 0 before the first.
        encoded_rules: the rules in order as `EncodedRule`.
        edits: the latest edits, oldest first.
    """

    revision: int = 0
    encoded_rules: tuple = ()
    edits: tuple = ()

    def __repr__(self):
        return f'Configuration(revision={self.revision})'

    @classmethod
    def from_bytes(cls, value, previous=None):
        """Decode the document stored in the key-value service.

        Args:
            value: the document.
            previous: an earlier `Configuration`. If the edits in the
                document lead from it to the document, its rules are reused
                and only the changed ones are decoded.

        Raises:
            errors.RuleError: the bytes are not a valid configuration.
        """
        try:
            document = checks.load_json(value)
            items = document['rules']
            edits = document.get('edits', ())
            decoded = cls(
                checks.check_count(document['revision'], 'revision'),
                edits=tuple(_edits.Edit.from_document(item) for item in edits),
            )
            replayed = previous and previous._replay_to(decoded, value)
            if replayed is not None:
                return replayed
            encoded_rules = (
                _edits.EncodedRule.from_document(item) for item in items
            )
            return attrs.evolve(decoded, encoded_rules=tuple(encoded_rules))
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
        """The document as stored, encoded: edits, revision and rules.

        Equal configurations yield equal bytes.
        """
        edits = b','.join(edit.encoded for edit in self.edits)
        lines = b','.join(item.encoded for item in self.encoded_rules)
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
        """The compressed document, cached because many peers may need it."""
        return zlib.compress(self.document, COMPRESSION_LEVEL)

    def edited(self, edit_id, operations):
        """Return the next revision, produced by `operations`.

        Raises:
            errors.RuleError: an operation cannot be applied to the rules.
        """
        edit = _edits.Edit(edit_id, self.revision + 1, operations)
        return self.replayed(edit)

    def replayed(self, edit):
        """Return the configuration after `edit`.

        Raises:
            errors.RuleError: the edit does not follow this revision.
        """
        if edit.revision != self.revision + 1:
            raise errors.RuleError(
                f'edit {edit.revision} does not follow {self.revision}',
                step='replay',
            )
        encoded_rules = list(self.encoded_rules)
        for operation in edit.operations:
            operation.apply(encoded_rules)
        edits = _trim_edits((*self.edits, edit))
        return Configuration(edit.revision, tuple(encoded_rules), edits)

    def _replay_to(self, decoded, document):
        """Return this configuration after the edits of `decoded`.

        Returns None if the result is not `document` byte for byte; the
        document must then be decoded completely.
        """
        edits = decoded.edits_after(self.revision)
        if not edits:
            return None
        try:
            replayed = functools.reduce(Configuration.replayed, edits, self)
        except errors.RuleError:
            return None
        return replayed if replayed.document == document else None

    def check(self, services=None):
        """Check the rules together, before an edit is accepted.

        Raises:
            errors.RuleError: lists every invalid rule and field.
        """
        document = rules.dump_rule_set(self.rule_set)
        rules.load_rule_set(document, services)
        if len(self.document) > MAX_BYTES:
            raise errors.RuleError(
                f'the rules and latest edits take {len(self.document)} bytes, '
                f'the maximum in the key-value service is {MAX_BYTES}',
                step='check-rules',
            )

    def edits_after(self, revision):
        """Return the edits after `revision`, or None if some were dropped."""
        edits = tuple(e for e in self.edits if e.revision > revision)
        if len(edits) != max(0, self.revision - revision):
            return None
        return edits

    def find_edit(self, edit_id):
        """Return the stored `Edit` with `edit_id`, or None."""
        for edit in self.edits:
            if edit.edit_id == edit_id:
                return edit
        return None


#: Configuration of a process before it has received any.
EMPTY = Configuration()


def _trim_edits(edits):
    """Drop the oldest edits until the rest is within the limits."""
    kept = edits[-MAX_EDITS:]
    size = sum(len(edit.encoded) for edit in kept)
    while size > MAX_EDIT_BYTES and len(kept) > 1:
        size -= len(kept[0].encoded)
        kept = kept[1:]
    return kept
