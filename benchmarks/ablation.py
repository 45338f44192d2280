"""Switches off each mechanism of the transfer; prints what it is worth.

``python -m benchmarks.ablation`` replays the cases of
`benchmarks.spread_cases` with the code as it is, and once without each
mechanism, in copies of the tree. A cell is the time of the last sound member
in times of one copy over a link, and the copies that the origin sent.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

from benchmarks import mutants
from benchmarks import mutations

#: The replay answers for members that do not fetch a version itself.
LATE = mutations.Mutation(
    'who-begins-late-says-so',
    'catkinshunt/spread/tests/swarm.py',
    "raise errors.SourceUnableError('not fetched', peer=peer)",
    "raise errors.SourceBusyError('not fetched', peer=peer)",
)
#: A chunk stays with a fallback that lacks it.
FALLBACKS = mutations.Mutation(
    'fallbacks-are-asked-once',
    'catkinshunt/spread/_fetcher.py',
    'self._hand_back(source, asked)',
    'pass',
)
SWITCHES = (
    'one-member-stands-in',
    'narrow-links-give-nothing',
    'owners-pass-on-less',
    'idle-sources-relieve',
    'first-source-keeps-its-chunks',
    'waiting-in-a-circle-ends',
    'various-chunks-go-out-first',
)


def replay(mutation=None):
    """Return the figures by case, without one mechanism."""
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        mutants.copy_tree(root)
        if mutation is not None:
            mutants.apply_mutation(mutation, root)
        done = subprocess.run(
            [sys.executable, '-m', 'benchmarks.spread_cases'],
            cwd=root,
            capture_output=True,
            check=True,
        )
    return json.loads(done.stdout.splitlines()[-1])


def main():
    """Print the table."""
    found = {m.name: m for m in mutations.MUTATIONS}
    switches = [LATE, *(found[name] for name in SWITCHES), FALLBACKS]
    rows = {'nothing': replay()}
    for switch in switches:
        rows[switch.name] = replay(switch)
    print('| without | ' + ' | '.join(rows['nothing']) + ' |')
    print('| --- ' * (len(rows['nothing']) + 1) + '|')
    for name, figures in rows.items():
        cells = [f'{times}, {copies}' for times, copies in figures.values()]
        print(f'| {name} | ' + ' | '.join(cells) + ' |')


if __name__ == '__main__':
    main()
