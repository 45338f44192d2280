"""Operators' edits of the configuration in the key-value service."""

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

    Each edit returns the `Configuration` that was accepted, or with
    ``dry_run`` the one that would be, and raises

    * `errors.RuleError` where the rules after the edit cannot be accepted,
    * `errors.ConflictError` where somebody else's edit came first; its
      ``changes`` name what that did,
    * `errors.StoreUnavailableError` where nothing was written,
    * `errors.StoreUnknownError` where it is not known whether the edit was
      accepted.

    Args:
        store: a `kvstore.BaseKeyValueStore`.
        services: names of the known services; None leaves them unchecked.
        tries: how often a write is tried while its outcome is not known.
        pause_s: seconds between tries.
        announce: called with each accepted `Configuration`, to hand it to
            some processes at once; see `announce`.
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
        """Return the `Configuration` accepted last."""
        current, _ = self._read()
        return current

    def add(self, rule, position=None, expected_revision=None, dry_run=False):
        """Insert `rule`, as written in a rules file; by default at the end.

        Args:
            rule: mapping with ``name``, ``when`` and ``then``.
            position: place in the order, 0 for the first.
            expected_revision: revision that the operator saw; None for
                whichever is read now.
            dry_run: check only, and write nothing.
        """

        def steps(current):
            place = (
                len(current.encoded_rules) if position is None else position
            )
            return (_edits.Add(rule, place),)

        return self._edit(steps, expected_revision, dry_run)

    def move(self, name, position, expected_revision=None, dry_run=False):
        """Move the rule `name`; the other arguments are as in `add`."""
        return self._edit(
            lambda current: (_edits.Move(name, position),),
            expected_revision,
            dry_run,
        )

    def retire(self, name, expected_revision=None, dry_run=False):
        """Take the rule `name` away; arguments are as in `add`."""
        return self._edit(
            lambda current: (_edits.Retire(name),), expected_revision, dry_run
        )

    def apply(self, rule_set, expected_revision=None, dry_run=False):
        """Make the rules equal to `rule_set`; arguments are as in `add`.

        Where they are equal already, nothing is written.
        """

        def steps(current):
            items = rules.dump_rule_set(rule_set)['rules']
            wanted = [_edits.EncodedRule.from_document(item) for item in items]
            return _edits.plan(current.encoded_rules, wanted)

        return self._edit(steps, expected_revision, dry_run)

    def _edit(self, make_steps, expected_revision, dry_run):
        current, stored = self._read()
        if expected_revision not in (None, current.revision):
            raise _conflict(expected_revision, current)
        steps = make_steps(current)
        if not steps:
            return current
        edited = current.edited(uuid.uuid4().hex, steps)
        edited.check(self.services)
        if dry_run:
            return edited
        accepted = self._write(current, edited, stored)
        if self.announce is not None:
            self.announce(accepted)
        return accepted

    def _read(self):
        entry = self.store.get(_configuration.KEY)
        if entry is None:
            return _configuration.EMPTY, 0
        current = _configuration.Configuration.from_bytes(entry.value)
        return current, entry.revision

    def _write(self, before, edited, stored):
        """Write until it is known whether `edited` was accepted.

        An answer can be lost after its write took effect, and the write can
        even take effect later. Trying again with the same expected revision
        is safe: the service lets only one such write through. Which one won
        is told by the edit's id in what is read back.
        """
        in_doubt = False
        for attempt in range(self.tries):
            if attempt:
                threading.Event().wait(self.pause_s)
            try:
                self.store.put(_configuration.KEY, edited.document, stored)
                return edited
            except errors.ConflictError:
                found = self._settle(before, edited, in_doubt)
            except errors.StoreUnknownError as exc:
                in_doubt = True
                _log.warning('Answer to edit lost: {}', exc)
                found = self._settle(before, edited, in_doubt)
            except errors.StoreUnavailableError:
                if not in_doubt:
                    raise
                found = None
            if found is not None:
                return found
        raise _unknown(edited)

    def _settle(self, before, edited, in_doubt):
        """Return `edited` if it was accepted, None if that is still open.

        Raises:
            errors.ConflictError: another edit came first.
        """
        try:
            current, _ = self._read()
        except errors.StoreError as exc:
            _log.warning('Edit not read back: {}', exc)
            return None
        if current.find_edit(edited.edits[-1].edit_id) is not None:
            return edited
        if current.revision <= before.revision:
            return None
        # Where the edits since then are not all kept, ours may be among
        # those dropped.
        if in_doubt and current.edits_after(before.revision) is None:
            raise _unknown(edited)
        raise _conflict(before.revision, current)


def _conflict(expected_revision, current):
    edits = current.edits_after(expected_revision)
    if current.revision < expected_revision:
        changes = ()
        text = 'which was never accepted'
    elif edits is None:
        kept = tuple(edit.describe() for edit in current.edits)
        changes = ('earlier changes are not kept any more', *kept)
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


def _unknown(edited):
    edit_id = edited.edits[-1].edit_id
    return errors.StoreUnknownError(
        f'it is not known whether the edit was accepted; look for edit '
        f'{edit_id} at revision {edited.revision} before trying again',
        step='edit-rules',
    )
