"""Small stand-ins for the platform and the systems served; not shipped."""
