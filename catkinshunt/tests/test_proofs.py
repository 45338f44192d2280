"""The page of proofs names tests and guards that exist."""

import ast
import pathlib

import pytest

from benchmarks import mutants
from benchmarks import mutations

PACKAGE = pathlib.Path(__file__).parents[1]
PROOFS = mutants.read_proofs()
STATES = {'proved', 'partial', 'not proved'}


def _names(path):
    tree = ast.parse(path.read_text(encoding='utf-8'))
    return {
        node.name for node in ast.walk(tree) if hasattr(node, 'decorator_list')
    }


@pytest.mark.parametrize(
    'test_id', sorted({test for proof in PROOFS for test in proof.tests})
)
def test_named_test_exists(test_id):
    path, _, name = test_id.partition('::')
    assert name.partition('[')[0] in _names(PACKAGE / path)


@pytest.mark.parametrize(
    'mutation', mutations.MUTATIONS, ids=lambda mutation: mutation.name
)
def test_guard_stands_in_its_file_and_on_the_page(mutation):
    """A guard is moved or renamed; its proof would no longer be checked."""
    text = (mutants.ROOT / mutation.path).read_text(encoding='utf-8')
    assert text.count(mutation.old) == 1
    assert any(mutation.name in proof.mutations for proof in PROOFS)


def test_every_proof_has_a_test_a_state_and_known_guards():
    names = {mutation.name for mutation in mutations.MUTATIONS}
    assert len(names) == len(mutations.MUTATIONS)
    for proof in PROOFS:
        assert proof.tests
        assert proof.state in STATES
        assert names.issuperset(proof.mutations)
        if proof.state == 'proved':
            assert proof.mutations
