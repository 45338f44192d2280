"""Commands of ``catkinshunt``; the docstrings are the help pages."""

from catkinshunt.cli import _action
from catkinshunt.cli import _check
from catkinshunt.cli import _experiment
from catkinshunt.cli import _explain
from catkinshunt.cli import _rules
from catkinshunt.cli import _serve
from catkinshunt.cli import _status


class Commands:
    """Weight distribution and request routing for bursts."""

    def __init__(self):
        self.rules = _rules.RulesCommands()

    def entry(self, path):
        """Run an entry, which takes callers' requests.

        It ends on SIGTERM, after the requests in progress.

        Args:
            path: settings file of the entry, JSON with comments.
        """
        return _action.Action(_serve.check_and_serve, 'entry', str(path))

    def sidecar(self, path):
        """Run a sidecar, the process beside one upstream.

        It ends on SIGTERM, after the requests in progress.

        Args:
            path: settings file of the sidecar, JSON with comments.
        """
        return _action.Action(_serve.check_and_serve, 'sidecar', str(path))

    def check_settings(self, *paths):
        """Check settings files and show everything that is wrong in them.

        Args:
            paths: settings files of entries, sidecars and operators.
        """
        return _action.Action(_check.check_settings, map(str, paths))

    def status(self, settings='operators.json5', watch=False, every_s=1.0):
        """Show instances, the revision in force and the models served.

        The last line counts, for each model version that a rule places,
        the instances that serve it.

        Args:
            settings: settings file of the operators.
            watch: show it again and again until every replica serves.
            every_s: seconds between two looks.
        """
        return _action.Action(_status.status, str(settings), watch, every_s)

    def explain(self, request, *logs):
        """Tell the story of one request from the logs of all processes.

        Args:
            request: id of the request.
            logs: files with the log lines of entries and sidecars.
        """
        return _action.Action(
            _explain.explain, str(request), list(map(str, logs))
        )

    def experiment(self, path, plot=None):
        """Play loads against a model; show what is served in time.

        The model of engines, entries and callers runs in virtual time, and
        reaches no other process. It comes with the sources only.

        Args:
            path: file of the scenario, JSON with comments.
            plot: file for a drawing of the shares, such as load.svg.
        """
        return _action.Action(
            _experiment.experiment,
            str(path),
            None if plot is None else str(plot),
        )

    def version(self):
        """Show the version."""
        return _action.Action(_check.version)
