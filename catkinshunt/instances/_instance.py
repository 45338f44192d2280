"""One machine as the platform's list shows it."""

import json
import sys

import attrs

from catkinshunt import checks
from catkinshunt import errors
from catkinshunt import httpio

LIVE = 'live'
LEAVING = 'leaving'
ENTRY = 'entry'
UPSTREAM = 'upstream'
_TEXTS = ('name', 'role', 'service', 'data_centre', 'region', 'state')


@attrs.frozen(kw_only=True)
class Instance:
    """A machine of the deployment.

    Attributes:
        name: its name.
        role: ``entry`` or ``upstream``.
        service: service of its upstream; empty for an entry.
        data_centre: where it stands.
        region: region of that data centre.
        address: `httpio.Address` for requests.
        control_address: `httpio.Address` for our own processes, or None.
        state: ``live`` or ``leaving``.
    """

    name: str
    role: str
    service: str
    data_centre: str
    region: str
    address: httpio.Address
    control_address: httpio.Address | None = None
    state: str = LIVE

    @classmethod
    def from_listing(cls, value):
        """Read one item of the platform's list.

        Raises:
            errors.PeerError: the item is no instance.
        """
        try:
            # Words that thousands of instances share are kept once.
            texts = {
                name: sys.intern(checks.check_text(value[name], name))
                for name in _TEXTS
            }
            address = httpio.Address.parse(value['address'])
            return cls(
                **texts,
                address=address,
                control_address=_control_address(value, address),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise errors.PeerError(
                f'not an instance: {exc!r}', step='read-listing'
            ) from exc

    def to_listing(self):
        """Return the instance as the platform's list shows it."""
        value = attrs.asdict(self, recurse=False)
        value['address'] = str(self.address)
        control = self.control_address
        value['control_address'] = str(control) if control else ''
        return value

    def to_canonical_json(self):
        """Return the listing as canonical JSON bytes."""
        text = json.dumps(
            self.to_listing(), sort_keys=True, separators=(',', ':')
        )
        return text.encode()


def _control_address(value, address):
    text = value.get('control_address')
    if not text:
        return None
    found = httpio.Address.parse(text)
    if found.host == address.host:
        return httpio.Address(address.host, found.port)
    return found
