"""Loads the module that plans expert maps, off the event loop."""

import asyncio
import importlib
from typing import Any

GROUP_MODULE = "jasperweir.components.mapswitch.group"


class GroupLoader:
    """Creates engine groups once their module has been imported.

    The import takes about 0.1 s of CPU time. On the event loop it would delay
    callers that reconnect after a power failure.
    """

    def __init__(self) -> None:
        self._module: Any = None

    @property
    def is_loaded(self) -> bool:
        """Whether the module is imported and groups can be created."""
        return self._module is not None

    def load(self) -> None:
        """Start the import in a thread; call this on the running loop."""
        loop = asyncio.get_running_loop()
        import_fut = loop.run_in_executor(
            None, importlib.import_module, GROUP_MODULE
        )
        import_fut.add_done_callback(self._on_loaded)

    def create_group(self, **kwargs: Any) -> Any:
        """Return a new ``Group`` with these arguments."""
        return self._module.Group(**kwargs)

    def _on_loaded(self, import_fut: "asyncio.Future[Any]") -> None:
        self._module = import_fut.result()
