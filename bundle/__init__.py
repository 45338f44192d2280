"""Builds the product as one file; not shipped itself."""
