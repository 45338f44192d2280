"""Measurements; each module runs as ``python -m benchmarks.bench_x``."""
