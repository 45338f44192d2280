"""Weight distribution and request routing for bursts."""

__version__ = '0.1.0'
