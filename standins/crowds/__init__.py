"""Crowds of clients that hold what they can of a process, on loopback."""
