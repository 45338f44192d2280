"""A command whose arguments are parsed, ready to run."""


class Action:
    """Stores a function and its arguments until the command line is checked.

    `act` is the only public member, since fire offers the public members of
    a result as further commands.
    """

    def __init__(self, function, *args, **kwargs):
        self._function = function
        self._args = args
        self._kwargs = kwargs

    def act(self):
        """Call the function; return its exit code or None."""
        return self._function(*self._args, **self._kwargs)
