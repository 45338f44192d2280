"""Which model version an instance is to hold."""

import attrs

from catkinshunt import rendezvous
from catkinshunt import rules

EVENT_KIND = 'placement'


@attrs.frozen
class Placement:
    """What the rules want of an instance.

    Args:
        rule: the `rules.Rule` that decided, or None where none matches.
        place: the `rules.Place` to hold, or None to hold nothing.
    """

    rule: rules.Rule | None = None
    place: rules.Place | None = None


def choose_placement(rule_set, instance, instances):
    """Return the `Placement` of one instance.

    Every process computes the same from the same rules and list, so nobody
    has to tell an instance what it holds. Where a rule wants fewer replicas
    than it matches instances, the first in an order by rendezvous hashing
    hold it; when one of them goes from the list, the next takes its place
    and the others keep theirs. The rest hold nothing by that rule, and by
    no later one, since the first that matches decides.

    Args:
        rule_set: the `rules.RuleSet` in force.
        instance: the `instances.Instance` asked for, listed or not yet.
        instances: the instances known; entries and those that leave do not
            count.
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
    """Return the names of the instances that hold what `instance` may hold.

    Args:
        rule_set: the `rules.RuleSet` in force.
        instance: the `instances.Instance` asked for, listed or not yet.
        instances: the instances known.
    """
    rule = rule_set.match(_make_event(instance))
    if rule is None or not isinstance(rule.then, rules.Place):
        return frozenset()
    names = _find_matched(rule_set, rule, instance, instances)
    place = rule.then
    if place.replicas is not None:
        order = rendezvous.rank(f'{place.model}/{rule.name}', names)
        names = order[: place.replicas]
    return frozenset(names)


def _find_matched(rule_set, rule, instance, instances):
    """Return the names of the instances for which `rule` decides."""
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
