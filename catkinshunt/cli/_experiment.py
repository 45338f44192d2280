"""Runs a scenario in the simulation, which is not part of the package."""

import importlib
import json
import os
import sys
import time

import attrs

from catkinshunt.cli import _progress
from catkinshunt import errors
from catkinshunt import settings

#: Decimal places of the shares.
_PLACES = 4


def experiment(path, plot):
    """Run the scenario in the file at `path`; print the results as JSON.

    Args:
        path: file of the scenario, JSON with comments.
        plot: file for an SVG chart, or None.

    Raises:
        errors.SettingsError: the scenario or `plot` cannot be used, or the
            model is missing.
    """
    model = _import_from_sources('standins.experiment')
    if plot is not None:
        _validate_plot(plot)
    cfg = settings.load_settings(path, model.ExperimentSettings)
    progress = _progress.Progress(
        cfg.name,
        len(cfg.loads) * len(cfg.seeds),
        sys.stderr,
        time.monotonic(),
    )
    results = [
        model.measure(
            cfg, load, note=lambda: progress.advance(time.monotonic())
        )
        for load in cfg.loads
    ]
    progress.end()
    print(json.dumps(_make_document(cfg, results), indent=2))
    if plot is not None:
        model.plot(_make_curves(results), plot, cfg.name)


def _import_from_sources(name):
    """Import and return a module that only a source checkout has."""
    try:
        return importlib.import_module(name)
    except ModuleNotFoundError as exc:
        if exc.name not in (name, name.partition('.')[0]):
            raise
        raise errors.SettingsError(
            f'experiment needs {exc.name}, which is not shipped; run '
            '`python -m catkinshunt experiment` in a checkout of the sources'
        ) from exc


def _validate_plot(plot):
    """Check `plot` before the long computation."""
    if not plot.endswith('.svg'):
        raise errors.SettingsError(
            f'--plot: got {settings.format_value(plot)}, allowed: a file that '
            'ends with .svg'
        )
    folder = os.path.dirname(plot) or '.'
    if not os.path.isdir(folder):
        raise errors.SettingsError(f'--plot: there is no folder {folder}')
    _import_from_sources('pygal')


def _make_document(cfg, results):
    scenario = attrs.asdict(
        cfg, filter=lambda _field, value: value is not None
    )
    rows = []
    for result in results:
        row = attrs.asdict(result)
        for name, value in row.items():
            if isinstance(value, float) and name != 'load':
                row[name] = round(value, _PLACES)
        rows.append(row)
    return {'scenario': scenario, 'results': rows}


def _make_curves(results):
    names = ('in_time', 'late', 'refused', 'bound')
    ordered = sorted(results, key=lambda result: result.load)
    return {
        name.replace('_', ' '): [
            (result.load, getattr(result, name)) for result in ordered
        ]
        for name in names
    }
