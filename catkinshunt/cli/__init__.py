"""The command line."""

from catkinshunt.cli._main import main

__all__ = ['main']
