"""Commands that show and edit the ordered rules."""

from catkinshunt.cli import _action
from catkinshunt.cli import _editing

_SETTINGS = 'operators.json5'


class RulesCommands:
    """Show and edit the ordered rules; the first that matches decides.

    Each edit prints the revision that was accepted. If somebody else's edit
    came first, the command prints what that changed and exits with 3.
    """

    def list(self, settings=_SETTINGS):
        """Show the accepted revision and its rules in order.

        Args:
            settings: settings file of the operators.
        """
        return _action.Action(_editing.show, str(settings))

    def add(
        self,
        file,
        position=None,
        revision=None,
        dry_run=False,
        settings=_SETTINGS,
    ):
        """Insert the rule in FILE.

        Args:
            file: JSON5 file with one rule: name, when, then.
            position: place in the order, 0 for the first; the last if left
                out.
            revision: edit only if this revision is still in force.
            dry_run: show the difference, and write nothing.
            settings: settings file of the operators.
        """
        return _action.Action(
            _editing.add, str(settings), str(file), position, revision, dry_run
        )

    def move(
        self, name, position, revision=None, dry_run=False, settings=_SETTINGS
    ):
        """Move the rule NAME to POSITION.

        Args:
            name: name of the rule.
            position: its place in the new order, 0 for the first.
            revision: edit only if this revision is still in force.
            dry_run: show the difference, and write nothing.
            settings: settings file of the operators.
        """
        return _action.Action(
            _editing.move,
            str(settings),
            str(name),
            position,
            revision,
            dry_run,
        )

    def retire(self, name, revision=None, dry_run=False, settings=_SETTINGS):
        """Take the rule NAME away.

        Args:
            name: name of the rule.
            revision: edit only if this revision is still in force.
            dry_run: show the difference, and write nothing.
            settings: settings file of the operators.
        """
        return _action.Action(
            _editing.retire, str(settings), str(name), revision, dry_run
        )

    def apply(self, file, revision=None, dry_run=False, settings=_SETTINGS):
        """Make the accepted rules equal to those in FILE.

        Args:
            file: JSON5 file with a list of rules, from version control.
            revision: edit only if this revision is still in force.
            dry_run: show the difference, and write nothing.
            settings: settings file of the operators.
        """
        return _action.Action(
            _editing.apply, str(settings), str(file), revision, dry_run
        )

    def explain(self, file=None, settings=_SETTINGS, event=False, **fields):
        """Show which rule decides, and why earlier ones do not.

        The request or event is given by its fields, such as
        --service=model-servers --account=press-7.

        Args:
            file: explain the rules in this JSON5 file instead of those
                accepted.
            settings: settings file of the operators.
            event: the fields describe an event, not a request.
            fields: fields of the request or event.
        """
        return _action.Action(
            _editing.explain,
            str(settings),
            None if file is None else str(file),
            event,
            fields,
        )
