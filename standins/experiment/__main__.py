"""Compares ways to choose an engine: `python -m standins.experiment`.

`python -m catkinshunt experiment` plays one scenario by the way that is in
use; here the same plays are repeated with other entries.
"""

import attrs
import fire

from standins import experiment

#: Offered load, in parts of what the engines can answer.
PARTS = (0.5, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0)
ENTRIES = (1, 5, 15)
KINDS = {
    'sending': experiment.SendingEntry,
    'asking': experiment.AskingEntry,
}


def main(engines=6, slots=16, seconds=27.0, seeds=3, plot=None):
    """Print the table.

    Args:
        engines: number of engines.
        slots: requests that an engine works on at once.
        seconds: length of each play, in virtual time.
        seeds: plays of each row.
        plot: file for a drawing as SVG, or None.
    """
    cfg = experiment.ExperimentSettings(
        name='ways',
        seeds=list(range(1, seeds + 1)),
        entries=1,
        engines=engines,
        slots=slots,
        loads=list(PARTS),
        seconds=seconds,
    )
    print('load  entries  way       in time   late  bound')
    curves = {}
    for part in PARTS:
        for entries in ENTRIES:
            changed = attrs.evolve(cfg, entries=entries)
            for name, make_entry in KINDS.items():
                result = experiment.measure(changed, part, make_entry)
                print(
                    f'{part:4.1f}  {entries:7d}  {name:8s}  '
                    f'{result.in_time:7.3f}  {result.late:5.3f}  '
                    f'{result.bound:5.3f}'
                )
                curve = curves.setdefault(f'{name}, {entries} entries', [])
                curve.append((part, result.in_time))
        curves.setdefault('bound', []).append((part, result.bound))
    if plot:
        experiment.plot(curves, plot, 'First tokens in time')


if __name__ == '__main__':
    fire.Fire(main)
