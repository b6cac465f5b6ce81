"""Exceptions shared by all modules."""


class JasperweirError(Exception):
    """Base class of all errors that jasperweir raises."""


class FrameError(JasperweirError):
    """A frame between processes is malformed and must be dropped."""


class SettingsError(JasperweirError):
    """A settings or bundle file is invalid.

    Attributes:
        problems: One message per problem.
    """

    def __init__(self, *, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class StorageError(JasperweirError):
    """The data folder is not usable."""


class LogCorruptError(StorageError):
    """A record before the end of the log fails its checksum."""


class ServiceNotFoundError(JasperweirError):
    """No service is registered under the requested name."""


class PlanError(JasperweirError):
    """No expert placement satisfies the constraints."""
