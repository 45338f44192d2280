"""The command line."""

from catkinshunt.cli._commands import main

__all__ = ['main']
