"""Edits of the configuration in the key-value service."""

import threading
import uuid

from catkinshunt import base
from catkinshunt.configuration import _configuration
from catkinshunt.configuration import _edits
from catkinshunt import errors
from catkinshunt import logs
from catkinshunt import rules

TRIES = 5
PAUSE_S = 0.3
_log = logs.get_logger('configuration')


class Editor(base.ParamsMixin):
    """Edits the configuration by compare-and-swap.

    Each edit returns the accepted `Configuration`, or with ``dry_run`` the
    one that would be accepted, and raises

    * `errors.RuleError` if the rules after the edit are invalid,
    * `errors.ConflictError` if another edit was accepted first; its
      ``changes`` describe that edit,
    * `errors.StoreUnavailableError` if nothing was written,
    * `errors.StoreUnknownError` if it is unknown whether the edit was
      accepted.

    Args:
        store: a `kvstore.BaseKeyValueStore`.
        services: names of the known services; None disables the check.
        tries: maximum attempts at a write until its outcome is known.
        pause_s: seconds between attempts.
        announce: called with each accepted `Configuration` to push it to
            some processes; see `announce`.
    """

    def __init__(
        self,
        store,
        services=None,
        tries=TRIES,
        pause_s=PAUSE_S,
        announce=None,
    ):
        self.store = store
        self.services = services
        self.tries = tries
        self.pause_s = pause_s
        self.announce = announce

    def read(self):
        """Return the latest accepted `Configuration`."""
        current, _ = self._read()
        return current

    def add(self, rule, position=None, expected_revision=None, dry_run=False):
        """Insert a rule as written in a rules file, by default at the end.

        Args:
            rule: mapping with ``name``, ``when`` and ``then``.
            position: index in the order, 0 for the first.
            expected_revision: revision that the edit is based on; None for
                the one read now.
            dry_run: only check; write nothing.
        """

        def make_operations(current):
            index = (
                len(current.encoded_rules) if position is None else position
            )
            return (_edits.Add(rule, index),)

        return self._edit(make_operations, expected_revision, dry_run)

    def move(self, name, position, expected_revision=None, dry_run=False):
        """Move the rule `name`; for the other arguments see `add`."""
        return self._edit(
            lambda current: (_edits.Move(name, position),),
            expected_revision,
            dry_run,
        )

    def retire(self, name, expected_revision=None, dry_run=False):
        """Remove the rule `name`; for the other arguments see `add`."""
        return self._edit(
            lambda current: (_edits.Retire(name),), expected_revision, dry_run
        )

    def apply(self, rule_set, expected_revision=None, dry_run=False):
        """Make the rules equal to `rule_set`; for other arguments see `add`.

        If they are equal already, nothing is written.
        """

        def make_operations(current):
            items = rules.dump_rule_set(rule_set)['rules']
            wanted = [_edits.EncodedRule.from_document(item) for item in items]
            return _edits.plan_operations(current.encoded_rules, wanted)

        return self._edit(make_operations, expected_revision, dry_run)

    def _edit(self, make_operations, expected_revision, dry_run):
        current, store_revision = self._read()
        if expected_revision not in (None, current.revision):
            raise _conflict_error(expected_revision, current)
        operations = make_operations(current)
        if not operations:
            return current
        edited = current.edited(uuid.uuid4().hex, operations)
        edited.check(self.services)
        if dry_run:
            return edited
        accepted = self._write(current, edited, store_revision)
        if self.announce is not None:
            self.announce(accepted)
        return accepted

    def _read(self):
        entry = self.store.get(_configuration.KEY)
        if entry is None:
            return _configuration.EMPTY, 0
        current = _configuration.Configuration.from_bytes(entry.value)
        return current, entry.revision

    def _write(self, before, edited, store_revision):
        """Write until it is known whether `edited` was accepted.

        A response can be lost after the write took effect, and the write can
        even take effect later. A retry with the same expected revision is
        safe, since at most one such write succeeds. Reading the document back
        shows by the id of the edit whether it was accepted.
        """
        outcome_unknown = False
        for attempt in range(self.tries):
            if attempt:
                threading.Event().wait(self.pause_s)
            try:
                self.store.put(
                    _configuration.KEY, edited.document, store_revision
                )
                return edited
            except errors.ConflictError:
                result = self._resolve(before, edited, outcome_unknown)
            except errors.StoreUnknownError as exc:
                outcome_unknown = True
                _log.warning('The response to the edit was lost: {}.', exc)
                result = self._resolve(before, edited, outcome_unknown)
            except errors.StoreUnavailableError:
                if not outcome_unknown:
                    raise
                result = None
            if result is not None:
                return result
        raise _unknown_outcome_error(edited)

    def _resolve(self, before, edited, outcome_unknown):
        """Return `edited` if it was accepted, None if still unknown.

        Raises:
            errors.ConflictError: another edit was accepted first.
            errors.StoreUnknownError: the edit may have been dropped from the
                document.
        """
        try:
            current, _ = self._read()
        except errors.StoreError as exc:
            _log.warning('Could not read back the edit: {}.', exc)
            return None
        if current.find_edit(edited.edits[-1].edit_id) is not None:
            return edited
        # No later revision was read; the write may still take effect.
        if current.revision <= before.revision:
            return None
        # If some edits since then were dropped, this one may be among them.
        if outcome_unknown and current.edits_after(before.revision) is None:
            raise _unknown_outcome_error(edited)
        raise _conflict_error(before.revision, current)


def _conflict_error(expected_revision, current):
    edits = current.edits_after(expected_revision)
    if current.revision < expected_revision:
        changes = ()
        text = 'which was never accepted'
    elif edits is None:
        kept = tuple(edit.describe() for edit in current.edits)
        changes = ('earlier edits are no longer stored', *kept)
        text = '; '.join(changes)
    else:
        changes = tuple(edit.describe() for edit in edits)
        text = '; '.join(changes)
    return errors.ConflictError(
        f'the rules are at revision {current.revision}, not '
        f'{expected_revision}: {text}',
        step='edit-rules',
        changes=changes,
    )


def _unknown_outcome_error(edited):
    edit_id = edited.edits[-1].edit_id
    return errors.StoreUnknownError(
        f'it is unknown whether the edit was accepted; look for edit '
        f'{edit_id} at revision {edited.revision} before retrying',
        step='edit-rules',
    )
