"""Base classes and mixins shared by all packages."""

import abc
import inspect


class ParamsMixin:
    """Implements ``get_params`` and ``repr`` from the constructor signature.

    Constructors only store their parameters under the same name; values are
    checked at first use by the helpers in `catkinshunt.checks`.

    Examples:
        >>> class Window(ParamsMixin):
        ...     def __init__(self, size=3):
        ...         self.size = size
        >>> Window(size=5)
        Window(size=5)
        >>> Window().get_params()
        {'size': 3}
    """

    def get_params(self):
        """Return the constructor's parameters as a mapping by name."""
        names = inspect.signature(type(self).__init__).parameters
        return {name: getattr(self, name) for name in names if name != 'self'}

    def __repr__(self):
        params = ', '.join(
            f'{name}={value!r}' for name, value in self.get_params().items()
        )
        return f'{type(self).__name__}({params})'


class BaseService(ParamsMixin, abc.ABC):
    """A component that runs until it is stopped.

    ``start`` returns once the service is usable. ``stop`` waits for work in
    progress and may be called more than once.
    """

    @abc.abstractmethod
    def start(self):
        """Start the service and return self."""

    @abc.abstractmethod
    def stop(self):
        """Finish work in progress and release all resources."""

    def __enter__(self):
        return self.start()

    def __exit__(self, *exc_info):
        self.stop()
