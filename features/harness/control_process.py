"""A deployed control VM without sockets, on a real data folder."""

import pathlib
import time
import types
from unittest import mock

import logbook

from features.harness import engines
from features.harness import sockets
from jasperweir.components.configctl import control_calls
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.daemons import node_settings
from jasperweir.daemons import site_control
from jasperweir.helpers import logs

SERVICE = "s"
TICK_SECONDS = 0.02


class Dialect:
    """Decodes every configuration as one service with engines."""

    def deployment(self, raw):
        service = types.SimpleNamespace(name=SERVICE, engine=engines.ENGINE)
        return types.SimpleNamespace(services=[service], raw=raw)

    def done(self):
        return control_calls.Reply(200, [], b"")


def make_settings(folder: pathlib.Path) -> node_settings.NodeSettings:
    name = sockets.free_address()
    bounds = node_settings.Bounds(
        grace_s=8.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_burst=0.0,
        stall_s=1.5,
        answer_kept_s=5.0,
    )
    return node_settings.NodeSettings(
        machine="vm",
        place="p",
        address="127.0.0.1",
        internal=name,
        seeds=(name,),
        bootstrap=True,
        data_folder=str(folder),
        callers=sockets.free_address(),
        ready=sockets.free_address(),
        lookup=sockets.free_address(),
        control="",
        metrics=sockets.free_address(),
        engine="",
        service="",
        lost_at_once=0,
        bounds=bounds,
    )


def quiet_logs():
    """Return a patch after which a daemon keeps its log lines to itself."""
    handler = types.SimpleNamespace(on_first=None, flush=lambda: True)
    return mock.patch.object(logs, "setup_bounded", return_value=handler)


def start_control(cfg, *, bootstrap=True) -> site_control.SiteControl:
    """Return a control VM that has read its data folder."""
    with quiet_logs(), logbook.NullHandler().applicationbound():
        control = site_control.SiteControl(
            cfg=cfg._replace(bootstrap=bootstrap),
            dialect=Dialect(),
            engines=None,
        )
        control._group_loader._module = group_lib
        control._start_node()
    return control


def run_until(control, condition, within_s=5.0) -> None:
    """Tick a control VM until a condition holds."""
    until = time.monotonic() + within_s
    with logbook.NullHandler().applicationbound():
        while not condition():
            assert time.monotonic() < until, "too late"
            control._tick()
            time.sleep(TICK_SECONDS)


def stop(control) -> None:
    """End a control VM as a kill does; its data folder stays."""
    control._storage.close()
    control._host.link._context.destroy(linger=0)
