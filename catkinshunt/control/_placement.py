"""Placement of model versions on instances by rules."""

import attrs

from catkinshunt import rendezvous
from catkinshunt import rules

EVENT_KIND = 'placement'


@attrs.frozen
class Placement:
    """Desired model version of an instance.

    Args:
        rule: the `rules.Rule` that matched, or None.
        place: the `rules.Place` with the version, or None for no version.
    """

    rule: rules.Rule | None = None
    place: rules.Place | None = None


def choose_placement(rule_set, instance, instances):
    """Return the `Placement` of one instance.

    The result is a deterministic function of rules and list, so instances
    need no coordinator. If a rule has fewer replicas than matching
    instances, rendezvous hashing selects them: when a replica leaves the
    list, the next instance of the order replaces it and the others stay. The
    remaining instances get no version, not even from later rules, since the
    first matching rule decides.

    Args:
        rule_set: the active `rules.RuleSet`.
        instance: the `instances.Instance` to place; may not be listed yet.
        instances: the listed instances; entries and leaving instances are
            ignored.
    """
    rule = rule_set.match(_make_event(instance))
    if rule is None or not isinstance(rule.then, rules.Place):
        return Placement(rule)
    place = rule.then
    if place.replicas is not None:
        names = find_replica_names(rule_set, instance, instances)
        if instance.name not in names:
            return Placement(rule)
    return Placement(rule, place)


def find_replica_names(rule_set, instance, instances):
    """Return the names of the replicas of the rule that matches `instance`.

    Args:
        rule_set: the active `rules.RuleSet`.
        instance: an `instances.Instance`; may not be listed yet.
        instances: the listed instances.
    """
    rule = rule_set.match(_make_event(instance))
    if rule is None or not isinstance(rule.then, rules.Place):
        return frozenset()
    names = _find_matching_names(rule_set, rule, instance, instances)
    place = rule.then
    if place.replicas is not None:
        order = rendezvous.rank(f'{place.model}/{rule.name}', names)
        names = order[: place.replicas]
    return frozenset(names)


def _find_matching_names(rule_set, rule, instance, instances):
    """Return the names of the instances whose first match is `rule`."""
    names = {instance.name}
    for other in instances:
        if other.role != 'upstream' or other.state != 'live':
            continue
        if rule_set.match(_make_event(other)) is rule:
            names.add(other.name)
    return names


def _make_event(instance):
    return rules.Event(
        kind=EVENT_KIND,
        service=instance.service,
        data_centre=instance.data_centre,
        region=instance.region,
        instance=instance.name,
    )
