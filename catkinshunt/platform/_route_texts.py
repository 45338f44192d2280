"""Parses the JSON text of a configuration, reusing unchanged routes.

A configuration arrives whole, also where a single route changed. Comparing
the text of a route with the previous one costs a hundredth of parsing it. A
JSON object is complete at its last character, so a route that begins with
the text of a known one is that route.
"""

import array
import json
import re

import attrs

#: Maximum number of routes whose text is compared at once.
MAX_RUN = 256
#: Routes parsed between two steps of `parse_steps`.
ROUTES_PER_STEP = 50

_OBJECT_START = re.compile(r'[ \t\n\r]*\{[ \t\n\r]*')
_ARRAY_START = re.compile(r'\[[ \t\n\r]*')
_DELIMITER = re.compile(r'[ \t\n\r]*([,:\]}])[ \t\n\r]*')
_decode = json.JSONDecoder().raw_decode


@attrs.define
class Routes:
    """Parsed routes in the order of their text.

    Attributes:
        text: JSON text of the configuration.
        starts: position in `text` at which each route starts.
        sizes: number of characters of each route.
        path_sizes: number of characters of the path of each route.
        rules: rule of each route.
        order: numbers of the routes, longest path first.
    """

    text: str
    starts: array.array = attrs.field(factory=lambda: array.array('I'))
    sizes: array.array = attrs.field(factory=lambda: array.array('I'))
    path_sizes: array.array = attrs.field(factory=lambda: array.array('I'))
    rules: list = attrs.field(factory=list)
    order: list | None = None

    def text_of(self, start, stop):
        """Return the text from route `start` to the one before `stop`."""
        end = self.starts[stop - 1] + self.sizes[stop - 1]
        return self.text[self.starts[start] : end]

    def add(self, start, size, path_size, rule):
        """Add a route."""
        self.starts.append(start)
        self.sizes.append(size)
        self.path_sizes.append(path_size)
        self.rules.append(rule)

    def extend(self, start, other, first, stop):
        """Add routes of `other`, whose text begins at `start` here."""
        shift = start - other.starts[first]
        starts = other.starts[first:stop]
        if shift:
            starts = [at + shift for at in starts]
        self.starts.extend(starts)
        self.sizes.extend(other.sizes[first:stop])
        self.path_sizes.extend(other.path_sizes[first:stop])
        self.rules.extend(other.rules[first:stop])

    def sort(self, previous):
        """Set `order`, which `previous` may have found; return the rules."""
        if previous is not None and previous.path_sizes == self.path_sizes:
            self.order = previous.order
        else:
            self.order = sorted(
                range(len(self.rules)),
                key=self.path_sizes.__getitem__,
                reverse=True,
            )
        return list(map(self.rules.__getitem__, self.order))


def parse_steps(value, make_rule, previous=None):
    """Parse a configuration in steps.

    Args:
        value: JSON as bytes.
        make_rule: returns the rule of a route, which is a decoded JSON object.
        previous: `Routes` of the previous configuration, or None.

    Yields:
        None, at the end of each step.

    Returns:
        The members of the configuration except `routes`, and the `Routes`.

    Raises:
        ValueError: the configuration is invalid, or valid in a form that is
            not parsed here, such as with a list of no routes.
    """
    text = value.decode()
    members = {}
    routes = None
    position = _skip(_OBJECT_START, text, 0)
    delimiter = ','
    while delimiter == ',':
        key, position = _decode(text, position)
        delimiter, position = _skip_delimiter(text, position)
        if not isinstance(key, str) or delimiter != ':':
            raise ValueError(f'no member at {position}')
        if key != 'routes':
            members[key], position = _decode(text, position)
        else:
            scanner = _RouteScanner(text, make_rule, previous)
            routes = scanner.routes
            position = yield from scanner.scan(position)
        delimiter, position = _skip_delimiter(text, position)
    if delimiter != '}' or position != len(text) or routes is None:
        raise ValueError(f'no end of the object at {position}')
    return members, routes


class _RouteScanner:
    """Parses the list of routes.

    Args:
        text: JSON text of the configuration.
        make_rule: see `parse_steps`.
        previous: `Routes` of the previous configuration, or None.
    """

    def __init__(self, text, make_rule, previous):
        self.text = text
        self.routes = Routes(text)
        self._make_rule = make_rule
        self._previous = previous or Routes('')
        # The next route of the previous configuration, and the number of
        # routes to compare from there.
        self._next = 0
        self._run = MAX_RUN
        self._numbers = None

    def scan(self, position):
        """Parse the list that starts at `position`; return its end."""
        position = _skip(_ARRAY_START, self.text, position)
        parsed_count = 0
        delimiter = ','
        while delimiter == ',':
            end = self._take_run(position)
            if end is None:
                end = self._parse_route(position)
                parsed_count += 1
                if parsed_count % ROUTES_PER_STEP == 0:
                    yield
            delimiter = self.text[end : end + 1]
            position = end + 1
            if delimiter != ',' or self.text[position : position + 1] != '{':
                delimiter, position = _skip_delimiter(self.text, end)
        if delimiter != ']':
            raise ValueError(f'no end of the routes at {position}')
        return position

    def _take_run(self, position):
        """Take over unchanged routes; return their end, or None."""
        previous = self._previous
        first = self._next
        size = min(self._run, len(previous.rules) - first)
        while size > 0:
            text = previous.text_of(first, first + size)
            if self.text.startswith(text, position):
                self.routes.extend(position, previous, first, first + size)
                self._next += size
                self._run = min(4 * size, MAX_RUN)
                return position + len(text)
            size //= 4
        self._run = 1
        return None

    def _parse_route(self, position):
        item, end = _decode(self.text, position)
        if not isinstance(item, dict):
            raise ValueError(f'a route is {item!r}, not an object')
        rule = self._make_rule(item)
        number = self._find_previous(rule)
        if number is not None:
            self._next = number + 1
            if self.text.startswith(
                self._previous.text_of(number, number + 1), position
            ):
                rule = self._previous.rules[number]
        path_size = len(item['path_prefix'])
        self.routes.add(position, end - position, path_size, rule)
        return end

    def _find_previous(self, rule):
        """Return the number of the route of this name, or None."""
        known = self._previous.rules
        if self._next < len(known) and known[self._next].name == rule.name:
            return self._next
        if self._numbers is None:
            self._numbers = {rule.name: i for i, rule in enumerate(known)}
        return self._numbers.get(rule.name)


def _skip(pattern, text, position):
    found = pattern.match(text, position)
    if found is None:
        raise ValueError(f'no {pattern.pattern} at {position}')
    return found.end()


def _skip_delimiter(text, position):
    found = _DELIMITER.match(text, position)
    if found is None:
        raise ValueError(f'no delimiter at {position}')
    return found[1], found.end()
