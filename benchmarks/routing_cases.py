"""Plays of routing and admission against the project's model.

``python -m benchmarks.routing_cases`` prints, as one JSON line, the first
tokens in time by case: one figure for each seed, over what a scheduler that
knows all could answer in time.
"""

import json
import random

import fire

from standins import experiment

#: Numbers of entries and of engines.
SIZES = ((7, 15), (36, 76))
#: Offered load, in parts of what the engines can answer.
PARTS = (0.8, 1.0, 1.2)
SEEDS = (1, 2, 3)
#: Seconds at the begin in which less is asked for, and the part of the
#: capacity that is asked for then.
CALM_S = 4.0
CALM_PART = 0.5
#: Span of time in which those counted first ask, and the end of the load, in
#: seconds. Callers that were refused are back by its begin.
BEGIN_S = 7.0
END_S = 11.0
LOAD_S = 11.5
#: Requests a second that are drawn to find what the engines can answer.
DRAWN_PER_S = 1000.0


def play(entries, engines, part, seed):
    """Return the share in time over that of a perfect scheduler.

    Args:
        entries: number of entries.
        engines: number of engines.
        part: offered load, in parts of what the engines can answer.
        seed: decides the requests.
    """
    sample = experiment.Load(lambda now: DRAWN_PER_S, LOAD_S)
    drawn = experiment.draw(sample, random.Random(seed))
    most = experiment.capacity(drawn, engines)
    load = experiment.Load(
        lambda now: most * (CALM_PART if now < CALM_S else part), LOAD_S
    )
    requests = experiment.play(
        experiment.Scenario(load, entries, engines, seed=seed)
    )
    in_time = experiment.summarize(requests, BEGIN_S, END_S).in_time
    bound = experiment.bound_in_time(requests, engines, BEGIN_S, END_S)
    return round(in_time / bound, 3)


def main(sizes=SIZES, parts=PARTS, seeds=SEEDS):
    """Print the figures of all cases.

    Args:
        sizes: pairs of numbers of entries and of engines.
        parts: offered loads.
        seeds: seeds of each case.
    """
    figures = {
        f'{entries} before {engines}, {part}': [
            play(entries, engines, part, seed) for seed in seeds
        ]
        for entries, engines in sizes
        for part in parts
    }
    print(json.dumps(figures))


if __name__ == '__main__':
    fire.Fire(main)
