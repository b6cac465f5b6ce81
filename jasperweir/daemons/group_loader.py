"""Load the module that plans expert maps beside the event loop."""

import asyncio
import importlib
from typing import Any

GROUP_MODULE = "jasperweir.components.mapswitch.group"


class GroupLoader:
    """Groups of engines, once their module is there.

    Its numeric library takes a tenth of a second of a whole core, which
    callers would wait for after a loss of power if it came first.
    """

    def __init__(self) -> None:
        self._module: Any = None

    @property
    def is_loaded(self) -> bool:
        """Whether groups can be made."""
        return self._module is not None

    def load(self) -> None:
        """Begin to load; call it on the running loop."""
        loop = asyncio.get_running_loop()
        loading = loop.run_in_executor(
            None, importlib.import_module, GROUP_MODULE
        )
        loading.add_done_callback(self._on_loaded)

    def create_group(self, **kwargs: Any) -> Any:
        """Return a new group."""
        return self._module.Group(**kwargs)

    def _on_loaded(self, loading: "asyncio.Future[Any]") -> None:
        self._module = loading.result()
