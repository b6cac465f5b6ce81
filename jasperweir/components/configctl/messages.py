"""Messages about whole configurations."""

from typing import NamedTuple

from jasperweir.helpers import codec


@codec.message("configctl.replace_ask")
class ReplaceRequest(NamedTuple):
    """A control VM hands an operator's configuration to the leader."""

    number: int
    version: int
    data: bytes


@codec.message("configctl.replace_answer")
class ReplaceReply(NamedTuple):
    """The leader has committed a configuration or holds a higher one."""

    number: int
    version: int


@codec.message("configctl.read_ask")
class ReadRequest(NamedTuple):
    """A control VM asks the leader which version is the newest."""

    number: int
    held: int


@codec.message("configctl.read_answer")
class ReadReply(NamedTuple):
    """The newest version; its content if the asker does not hold it."""

    number: int
    version: int
    data: bytes


@codec.message("configctl.found")
class BootstrapRequest(NamedTuple):
    """A control VM without a disk names the one that founds the log."""


@codec.message("configctl.version")
class VersionNews(NamedTuple):
    """A version has been committed."""

    version: int


@codec.message("configctl.pull")
class Pull(NamedTuple):
    """A node asks for the newest committed configuration."""

    held: int


@codec.message("configctl.content")
class Content(NamedTuple):
    """A committed configuration, compressed."""

    version: int
    data: bytes
