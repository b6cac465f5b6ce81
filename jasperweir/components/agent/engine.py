"""Adapter between an expert group and the engine on the same VM."""

from collections.abc import Callable
import queue
import threading
from typing import Any

import numpy as np
import urllib3

from jasperweir import core
from jasperweir.components.experts import group as group_lib
from jasperweir.components.experts import messages
from jasperweir.components.experts import step_gate
from jasperweir.helpers import codec
from jasperweir.helpers import http_pool

POLL_SECONDS = 0.25
CALL_TIMEOUT_SECONDS = 2.0
LOAD_TIMEOUT_SECONDS = 60.0
HTTP_OK = 200


class GroupEngine:
    """Sends step grants and expert maps to the engine and polls its steps.

    One thread sends the grants in order. Weights are loaded on separate
    threads, because a load is slow and must not delay grants.
    """

    def __init__(
        self,
        *,
        url: str,
        group: group_lib.Group,
        call: Callable[[Callable[[], Any]], None],
        perform: Callable[[list[Any]], None],
        on_skew: Callable[[float, bool], None],
    ) -> None:
        self._url = url
        self._group = group
        self._call = call
        self._perform_all = perform
        self._on_skew = on_skew
        self._http = http_pool.create(maxsize=8)
        self._queue: queue.SimpleQueue[tuple[str, bytes]] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._loading: set[int] = set()
        self._shape_known = False

    def start(self) -> None:
        """Start the polling and sending threads."""
        for target in (self._poll_loop, self._send_loop):
            threading.Thread(target=target, daemon=True).start()

    def stop(self) -> None:
        """Stop the polling and sending threads."""
        self._stopping.set()
        self._queue.put(("", b""))

    def perform(self, acts: list[Any]) -> None:
        """Send the group's actions to the engine."""
        for act in acts:
            match act:
                case step_gate.AllowSteps():
                    grant = act.grant
                    body = (
                        f'{{"version": {grant.version}, '
                        f'"first": {grant.first}, "last": {grant.last}}}'
                    )
                    self._queue.put(("/grants", body.encode()))
                case step_gate.RevokeGrants():
                    self._queue.put(("/clear", b"{}"))
                case step_gate.UnloadWeights():
                    body = f'{{"version": {act.version}}}'
                    self._queue.put(("/drop", body.encode()))
                case step_gate.LoadWeights():
                    self._load(act)
                case core.Send():
                    continue

    def _load(self, act: step_gate.LoadWeights) -> None:
        if act.map.version in self._loading:
            return
        self._loading.add(act.map.version)
        threading.Thread(
            target=self._load_map, args=(act.map, act.coordinator), daemon=True
        ).start()

    def _load_map(self, new: messages.Map, coordinator: str) -> None:
        ok = self._post("/map", codec.pack(new), LOAD_TIMEOUT_SECONDS)

        def loaded() -> None:
            self._loading.discard(new.version)
            guard = self._group.step_gate
            self._perform_all(
                guard.on_weights_loaded(new.version, ok, coordinator)
            )

        self._call(loaded)

    def _send_loop(self) -> None:
        while not self._stopping.is_set():
            path, body = self._queue.get()
            if path and not self._post(path, body, CALL_TIMEOUT_SECONDS):
                # One retry only: the coordinator resends unconfirmed messages.
                self._post(path, body, CALL_TIMEOUT_SECONDS)

    def _post(self, path: str, body: bytes, seconds: float) -> bool:
        try:
            resp = self._http.request(
                "POST", self._url + path, body=body, timeout=seconds
            )
        except urllib3.exceptions.HTTPError:
            return False
        return resp.status == HTTP_OK

    def _poll_loop(self) -> None:
        while not self._stopping.wait(POLL_SECONDS):
            try:
                self._poll()
            except (urllib3.exceptions.HTTPError, ValueError, KeyError):
                self._shape_known = False

    def _poll(self) -> None:
        if not self._shape_known:
            shape = self._get("/group")
            self._call(
                lambda: self._group.set_shape(
                    group_lib.GroupShape(
                        layers=shape["layers"],
                        ranks=shape["ranks"],
                        per_rank=shape["per_rank"],
                        experts=shape["experts"],
                    )
                )
            )
            self._shape_known = True
        report = self._get("/steps")
        coordinator = self._group.coordinator
        switching = coordinator is not None and bool(coordinator.pending)
        self._on_skew(float(report["skew"]), switching)
        self._call(lambda: self._observe(report))

    def _observe(self, report: dict[str, Any]) -> None:
        done = int(report["done"])
        if done < self._group.step_gate.done:
            self._group.step_gate.on_engine_restart()
        self._perform_all(self._group.step_gate.on_step_done(done))
        if self._group.coordinator is None:
            return
        self._group.observe(
            np.array(report["counts"], dtype=float),
            np.array(report["seconds"], dtype=float),
            np.array(report["loads"], dtype=float),
        )

    def _get(self, path: str) -> dict[str, Any]:
        resp = self._http.request(
            "GET", self._url + path, timeout=CALL_TIMEOUT_SECONDS
        )
        found: dict[str, Any] = resp.json()
        return found
