"""Stand-ins of the platform, and the real programs as processes."""
