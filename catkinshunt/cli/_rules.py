"""Commands that show rules."""

from catkinshunt.cli import _action


class RulesCommands:
    """Show and edit the ordered rules."""

    def list(self, settings='operators.json5'):
        """Show the accepted revision and its rules in order.

        Args:
            settings: settings file of the operators.
        """
        return _action.Action(_list, settings)


def _list(settings):
    raise NotImplementedError(settings)
