"""Runs the command line: ``python -m catkinshunt``."""

from catkinshunt import cli

if __name__ == '__main__':
    cli.main()
