"""At-most-once records of non-idempotent requests."""

from catkinshunt.claims._attempts import SeenAttempts
from catkinshunt.claims._document import compute_request_digest
from catkinshunt.claims._ledger import Ledger
from catkinshunt.claims.base import BaseLedger
from catkinshunt.claims.base import Claim
from catkinshunt.claims.base import Outcome
from catkinshunt.claims.base import State

__all__ = [
    'BaseLedger',
    'Claim',
    'Ledger',
    'Outcome',
    'SeenAttempts',
    'State',
    'compute_request_digest',
]
