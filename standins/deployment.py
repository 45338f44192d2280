"""A deployment as the demo builds it, read from ``examples``."""

import pathlib

import attrs

from catkinshunt import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
NAMES = ('thessalias', 'indus')


@attrs.frozen
class Place:
    """A data centre and its region."""

    data_centre: str
    region: str


@attrs.frozen
class Service:
    """A service and the number of its runners."""

    name: str
    runners: int


@attrs.frozen
class Account:
    """An account and how many callers it has at a time."""

    name: str
    callers: int


@attrs.frozen(kw_only=True)
class Deployment:
    """Places, services, accounts and links of one user.

    Attributes:
        name: folder below ``examples``.
        places: where instances stand, in turn.
        between_regions_ms: one way between two regions.
        to_callers_ms: one way between callers and an entry.
        entries: entry instances.
        model_service: its runners are model engines.
        booking_service: takes calls that must not be repeated.
        portal_service: takes reads only.
        model: name of the model.
        accounts: who calls.
        model_bytes: size of the weights.
        link_bytes_per_s: each instance's link, both directions together.
        origin_bytes_per_s: the origin's link.
    """

    name: str
    places: list[Place]
    between_regions_ms: float
    to_callers_ms: float
    entries: int
    model_service: Service
    booking_service: Service
    portal_service: Service
    model: str
    accounts: list[Account]
    model_bytes: int
    link_bytes_per_s: float
    origin_bytes_per_s: float

    @property
    def services(self):
        """All services."""
        return (self.model_service, self.booking_service, self.portal_service)

    def rules(self, version):
        """Return the example's rules, with the model placed at `version`."""
        path = EXAMPLES / self.name / 'rules.json5'
        document = settings.load_document(str(path))
        for rule in document['rules']:
            if 'place' in rule['then']:
                rule['then']['place']['version'] = version
        return document


def load(name):
    """Return the `Deployment` called `name`."""
    path = EXAMPLES / name / 'deployment.json5'
    return settings.load_settings(str(path), Deployment)
