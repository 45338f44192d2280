"""Parses the arguments, runs one command, and maps errors to exit codes.

fire parses the arguments. It calls a command before it checks for leftover
arguments, so commands return an `Action` instead of running at once, and a
wrong flag is found before anything runs.
"""

import contextlib
import io
import os
import sys

from catkinshunt.cli import _action
from catkinshunt.cli import _relaunch
from catkinshunt import errors

NAME = 'catkinshunt'
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
_EXIT_INTERRUPTED = 130
_HELP = ('--help', '-h', 'help')


def main(argv=None):
    """Run the command in `argv` and end the process with its exit code."""
    sys.exit(run(sys.argv[1:] if argv is None else list(argv)))


def run(argv):
    """Run the command in `argv`; return its exit code.

    Examples:
        >>> run(['--version'])  # doctest: +ELLIPSIS
        catkinshunt ...
        0
    """
    try:
        return _run(argv)
    except errors.ConflictError as exc:
        return _print_error(exc, EXIT_CONFLICT)
    except (errors.SettingsError, errors.RuleError) as exc:
        return _print_error(exc, EXIT_USAGE)
    except errors.CatkinshuntError as exc:
        return _print_error(exc, EXIT_FAILED)
    except BrokenPipeError:
        # The reader, such as `head`, closed the pipe. Flushing the rest of
        # the buffer at exit would raise again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_OK
    except OSError as exc:
        return _print_error(exc, EXIT_FAILED)
    except KeyboardInterrupt:
        return _EXIT_INTERRUPTED


def _run(argv):
    if argv[:1] == [_relaunch.RESTART_COMMAND]:
        return _serve_checked(argv[1:])
    if argv[:1] == ['--version']:
        argv = ['version']
    if not argv:
        argv = ['--help']
    found = _parse_arguments(argv)
    if isinstance(found, _action.Action):
        return found.act() or EXIT_OK
    return EXIT_OK


def _serve_checked(words):
    from catkinshunt.cli import _serve

    try:
        role, path, read_end = words
    except ValueError as exc:
        text = f'{_relaunch.RESTART_COMMAND} is for the process itself'
        raise errors.SettingsError(text) from exc
    return _serve.serve_checked(role, path, read_end) or EXIT_OK


def _parse_arguments(argv):
    """Return the `Action` for `argv`, or None after printing help."""
    import fire
    from fire import core

    from catkinshunt.cli import _commands

    # Keeps fire from starting a pager as a child process.
    os.environ['PAGER'] = '-'
    if any(word in argv for word in _HELP):
        words = [word for word in argv if word not in (*_HELP, '--')]
        return _print_help(words)
    fire_output = io.StringIO()
    try:
        with contextlib.redirect_stderr(fire_output):
            found = fire.Fire(
                _commands.Commands(),
                command=argv,
                name=NAME,
                serialize=lambda _value: None,
            )
    except core.FireExit:
        found = None
    if not isinstance(found, _action.Action):
        raise errors.SettingsError(
            _extract_reason(fire_output.getvalue(), argv)
        )
    return found


def _print_help(words):
    """Print the help page of the command `words` to standard output."""
    import fire
    from fire import core

    from catkinshunt.cli import _commands

    page = io.StringIO()
    with contextlib.redirect_stderr(page), contextlib.suppress(core.FireExit):
        fire.Fire(
            _commands.Commands(), command=[*words, '--', '--help'], name=NAME
        )
    print(page.getvalue().rstrip())


def _extract_reason(fire_output, argv):
    """Return the error message of fire as one line."""
    for line in fire_output.splitlines():
        if line.startswith('ERROR: '):
            reason = line.removeprefix('ERROR: ').rstrip('.')
            return f'{reason}; see {NAME} --help'
    words = ' '.join(argv)
    return f'{words!r} is not a whole command; see {NAME} --help'


def _print_error(exc, code):
    print(f'{NAME}: {_join_lines(exc)}', file=sys.stderr)
    return code


def _join_lines(exc):
    lines = str(exc).splitlines() or [type(exc).__name__]
    return '; '.join(line.strip() for line in lines)
