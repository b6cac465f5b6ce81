"""Exceptions shared by all of jasperweir."""


class JasperweirError(Exception):
    """Base of every error that jasperweir raises on purpose."""


class FrameError(JasperweirError):
    """A frame between processes is malformed and must be dropped."""


class SettingsError(JasperweirError):
    """A settings or bundle file is wrong.

    Attributes:
        problems: One readable line per problem found.
    """

    def __init__(self, *, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class StorageError(JasperweirError):
    """The data folder cannot be used."""


class LogCorruptError(StorageError):
    """A record before the end of the log fails its checksum."""


class ServiceNotFoundError(JasperweirError):
    """No service is registered under the requested name."""


class PlanError(JasperweirError):
    """No expert placement satisfies the constraints."""
