"""A command whose arguments are read, ready to act."""


class Action:
    """Keeps a function and its arguments until all is checked.

    It has no public members but `act`, since fire offers those of a result
    as further commands.
    """

    def __init__(self, function, *args, **kwargs):
        self._function = function
        self._args = args
        self._kwargs = kwargs

    def act(self):
        """Call the function; returns its exit code or None."""
        return self._function(*self._args, **self._kwargs)
