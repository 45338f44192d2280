"""Ordered when-then rules; the first matching rule applies."""

from catkinshunt.rules._actions import Place
from catkinshunt.rules._actions import Refuse
from catkinshunt.rules._actions import Route
from catkinshunt.rules._conditions import Equal
from catkinshunt.rules._conditions import Not
from catkinshunt.rules._conditions import OneOf
from catkinshunt.rules._conditions import Prefix
from catkinshunt.rules._documents import dump_rule
from catkinshunt.rules._documents import dump_rule_set
from catkinshunt.rules._documents import load_rule
from catkinshunt.rules._documents import load_rule_set
from catkinshunt.rules._problems import Problem
from catkinshunt.rules._rules import Clause
from catkinshunt.rules._rules import Explanation
from catkinshunt.rules._rules import Rule
from catkinshunt.rules._rules import RuleSet
from catkinshunt.rules._rules import When
from catkinshunt.rules._subjects import Event
from catkinshunt.rules._subjects import Request

__all__ = [
    'Clause',
    'Equal',
    'Event',
    'Explanation',
    'Not',
    'OneOf',
    'Place',
    'Prefix',
    'Problem',
    'Refuse',
    'Request',
    'Route',
    'Rule',
    'RuleSet',
    'When',
    'dump_rule',
    'dump_rule_set',
    'load_rule',
    'load_rule_set',
]
