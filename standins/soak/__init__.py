"""A randomized soak of the platform's two programs under faults.

``python -m standins.soak --seed=1 --duration_s=30`` starts entries and
sidecars as processes of their own on stand-ins of the platform, injects
faults from outside, and checks the promises from what callers and upstreams
see.
"""
