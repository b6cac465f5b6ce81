"""Client library with address discovery, failover and stream resumption."""

import json
import random
import secrets
import time
from typing import Any
from typing import NamedTuple

import urllib3

from jasperweir.helpers import clocks
from jasperweir.helpers import event_stream
from jasperweir.helpers import http_pool

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_ATTEMPTS = 4
DONE_MARK = b"[DONE]"
CODE_HEADER = "Jasperweir-Code"
OUTCOME_HEADER = "Jasperweir-Outcome"
RUN_HEADER = "Jasperweir-Run"


class IncompleteStreamError(Exception):
    """A stream ended before its terminator."""


class Answer(NamedTuple):
    """Response to a request, with timing and attempts.

    Attributes:
        code: Result code, 0 if no entry responded.
        outcome: One of completed, not_run, running and unknown.
        status: HTTP status.
        body: Response body, or the error object.
        tries: Number of attempts.
        first_token_s: Seconds to the first byte of a stream.
        gaps_s: Seconds between the chunks of a stream.
        error: Connection error of the last attempt, or empty.
        earlier: Address and error of each earlier attempt.
    """

    code: int
    outcome: str
    status: int
    body: bytes
    tries: int
    first_token_s: float = 0.0
    gaps_s: tuple[float, ...] = ()
    error: str = ""
    earlier: tuple[str, ...] = ()

    def text(self) -> str:
        """Return the text of a completion, streamed or not."""
        if not self.body.startswith(b"data: "):
            choices = json.loads(self.body)["choices"]
            return str(choices[0]["message"]["content"])
        parts = []
        for line in self.body.split(b"\n\n"):
            data = line.removeprefix(b"data: ")
            if data and data != DONE_MARK:
                delta = json.loads(data)["choices"][0]["delta"]
                parts.append(delta["content"])
        return "".join(parts)


class Client:
    """Client that sends requests to the entries listed by the system.

    A request with an idempotency key is resent under that key until its
    outcome is known, so it runs at most once even if responses get lost.
    """

    def __init__(
        self,
        *,
        seeds: list[str],
        customer: str,
        place: str = "",
        service: str = "",
        seed: int = 0,
    ) -> None:
        self._seeds = list(seeds)
        self._customer = customer
        self._place = place
        self._service = service
        self._rng = random.Random(seed)
        self._http = http_pool.create(num_pools=32, maxsize=64, block=False)
        self._addresses: list[tuple[str, int]] = []
        self._addresses_expire_at = 0.0

    def complete(
        self,
        model: str,
        messages: list[dict[str, str]],
        *,
        stream: bool = False,
        key: str = "",
        deadline_s: float = 30.0,
        **fields: Any,
    ) -> Answer:
        """Request a completion from a model."""
        body = {"model": model, "messages": messages, "stream": stream}
        body.update(fields)
        return self.call(
            "POST",
            "/v1/chat/completions",
            json.dumps(body).encode(),
            key=key,
            deadline_s=deadline_s,
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        key: str = "",
        deadline_s: float = 30.0,
    ) -> Answer:
        """Send a request, with failover to other entries."""
        deadline = clocks.elapsed() + deadline_s
        answer = Answer(0, "unknown", 0, b"", 0)
        avoid: set[str] = set()
        # Number of earlier attempts that may have run. An entry may report
        # "not run" for attempt 1 only, so a retry after one of these is
        # numbered higher.
        exposed = 0
        earlier: list[str] = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            remaining = deadline - clocks.elapsed()
            if remaining <= 0:
                break
            address = self._choose_address(avoid)
            answer, again, wait = self._send_once(
                address, method, path, body, key, exposed + 1, remaining
            )
            answer = answer._replace(tries=attempt, earlier=tuple(earlier))
            if not again:
                return answer
            seen = answer.error or f"{answer.status} {answer.body!r}"
            earlier.append(f"{address}: {seen}")
            exposed += answer.outcome != "not_run"
            avoid.add(address)
            pause = min(wait, max(deadline - clocks.elapsed(), 0))
            time.sleep(pause)
        return answer

    def _send_once(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        key: str,
        attempt: int,
        remaining: float,
    ) -> tuple[Answer, bool, float]:
        """Return the answer, whether to retry and the delay in seconds."""
        headers = {
            "Content-Type": "application/json",
            "Jasperweir-Customer": self._customer,
            "Jasperweir-Deadline": f"{remaining:.3f}",
            "Jasperweir-Attempt": str(attempt),
        }
        if key:
            headers["Idempotency-Key"] = key
        started = clocks.elapsed()
        times: list[float] = []
        run = ""
        received = b""
        status = 0
        is_stream = False
        try:
            resp = self._http.request(
                method,
                f"http://{address}{path}",
                body=body or None,
                headers=headers,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=remaining + 2.0
                ),
            )
            run = resp.headers.get(RUN_HEADER, "")
            status = resp.status
            is_stream = event_stream.is_event_stream(
                resp.headers.get("Content-Type", "")
            )
            for chunk in resp.stream(65536):
                times.append(clocks.elapsed())
                received += chunk
            resp.release_conn()
            if is_stream and not _read_stream(received).is_complete:
                raise IncompleteStreamError("ended before its terminator")
        except (urllib3.exceptions.HTTPError, IncompleteStreamError) as exc:
            self._addresses_expire_at = 0.0
            if run and received and not (is_stream and _has_error(received)):
                resumed = self._resume(
                    run, received, address, status, is_stream
                )
                if resumed is not None:
                    done = _make_answer(status, resumed, attempt)
                    return (
                        done._replace(code=1000, outcome="completed"),
                        (False),
                        0.0,
                    )
            again = bool(key) or method == "GET" or not received
            broken = Answer(0, "unknown", 0, received, attempt)
            return broken._replace(error=repr(exc)), again, 0.05
        answer = _make_answer(resp.status, received, attempt)._replace(
            code=int(resp.headers.get(CODE_HEADER, "0")),
            outcome=resp.headers.get(OUTCOME_HEADER, "unknown"),
            first_token_s=times[0] - started if times else 0.0,
            gaps_s=tuple(b - a for a, b in zip(times, times[1:], strict=False)),
        )
        if resp.status < 400:
            return answer, False, 0.0
        return (answer, *_retry_advice(answer, key))

    def _resume(
        self,
        run: str,
        received: bytes,
        failed: str,
        status: int,
        is_stream: bool,
    ) -> bytes | None:
        """Return a broken body, its rest read through another entry.

        Args:
            run: The run that the entry named.
            received: What was received of the body.
            failed: Address of the entry that it came from.
            status: HTTP status of the response.
            is_stream: Whether the body is an event stream.

        Returns:
            The complete body, None if it cannot be completed.
        """
        for _ in range(MAX_ATTEMPTS):
            address = self._choose_address({failed})
            url = f"http://{address}/v1/runs/{run}?offset={len(received)}"
            try:
                resp = self._http.request("GET", url, timeout=30.0)
            except urllib3.exceptions.HTTPError:
                time.sleep(0.1)
                continue
            if resp.status != status:
                return None
            body = received + resp.data
            if not is_stream or _read_stream(body).is_complete:
                return body
            time.sleep(0.1)
        return None

    def _choose_address(self, avoid: set[str]) -> str:
        if clocks.elapsed() >= self._addresses_expire_at:
            self._refresh_addresses()
        usable = [(a, w) for a, w in self._addresses if a not in avoid]
        if not usable:
            usable = self._addresses
        if not usable:
            return self._rng.choice(self._seeds)
        names = [a for a, _ in usable]
        weights = [w for _, w in usable]
        return self._rng.choices(names, weights)[0]

    def _refresh_addresses(self) -> None:
        salt = secrets.token_hex(4)
        query = f"place={self._place}&service={self._service}&salt={salt}"
        candidates = [a for a, _ in self._addresses] + self._seeds
        self._rng.shuffle(candidates)
        for address in candidates:
            try:
                resp = self._http.request(
                    "GET",
                    f"http://{address}/v1/addresses?{query}",
                    timeout=urllib3.Timeout(connect=0.5, read=1.0),
                )
                answer = resp.json()
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
            if resp.status == 200 and answer["addresses"]:
                self._addresses = [
                    (a["http"], a["weight"]) for a in answer["addresses"]
                ]
                self._addresses_expire_at = clocks.elapsed() + answer["ttl_s"]
                return


def _read_stream(received: bytes) -> event_stream.TerminatedStream:
    stream = event_stream.TerminatedStream()
    stream.feed(received)
    return stream


def _has_error(received: bytes) -> bool:
    """Return whether a stream ends with an entry's error.

    It belongs to no run, so the run's bytes can't follow it.
    """
    stream = _read_stream(received)
    try:
        return "error" in json.loads(stream.last_data or b"{}")
    except (ValueError, TypeError):
        return False


def _make_answer(status: int, body: bytes, tries: int) -> Answer:
    return Answer(0, "unknown", status, body, tries)


def _retry_advice(answer: Answer, key: str) -> tuple[bool, float]:
    """Return whether the error allows a retry, and its delay in seconds."""
    try:
        error = json.loads(answer.body)["error"]
    except (ValueError, KeyError):
        return False, 0.0
    wait = float(error.get("retry_after_s", 0.1))
    if error.get("retry"):
        return True, wait
    return bool(key) and answer.outcome == "unknown", wait
