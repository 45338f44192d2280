"""Start of the one-file build; becomes its ``__main__`` module."""

import sys

#: Filled in at the build: (major, minor) of the Python it was compiled for.
BUILT_FOR = None


def main():
    """Run the command line if this Python can load the compiled modules."""
    if sys.version_info[:2] != BUILT_FOR:
        # Another Python skips the compiled modules as if they were missing,
        # and the operator would read of a missing module instead.
        major, minor = BUILT_FOR
        sys.exit(
            f'catkinshunt: needs Python {major}.{minor}, started by Python '
            f'{sys.version_info[0]}.{sys.version_info[1]}'
        )
    from catkinshunt import cli

    cli.main()


if __name__ == '__main__':
    main()
