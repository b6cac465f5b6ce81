"""Caller's library: asks for addresses, keeps them, fails over, resumes."""

import json
import random
import secrets
import time
from typing import Any
from typing import NamedTuple

import urllib3

from jasperweir.helpers import clocks

CONNECT_SECONDS = 1.0
MAX_TRIES = 4
DONE_MARK = b"[DONE]"
CODE_HEADER = "Jasperweir-Code"
OUTCOME_HEADER = "Jasperweir-Outcome"
RUN_HEADER = "Jasperweir-Run"


class Answer(NamedTuple):
    """What a caller learnt of its request.

    Attributes:
        code: Numbered result code, 0 if no entry answered at all.
        outcome: completed, not_run, running or unknown.
        status: HTTP status.
        body: Whole answer, or the error object.
        tries: Requests sent.
        first_token_s: Seconds to the first byte of a stream.
        gaps_s: Seconds between the chunks of a stream.
        error: What broke the connection, or empty.
        earlier: What each try before the last one met.
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
        """Return the text of a streamed or whole completion."""
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
    """Call the system through whichever entries it names.

    A request with an idempotency key is resent under that key until its
    outcome is known, so it runs at most once whatever gets lost.
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
        self._http = urllib3.PoolManager(
            num_pools=32, maxsize=64, block=False, retries=False
        )
        self._kept: list[tuple[str, int]] = []
        self._kept_until = 0.0

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
        """Ask a model for a completion."""
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
        """Send a request, to another entry if one cannot be reached."""
        deadline = clocks.elapsed() + deadline_s
        answer = Answer(0, "unknown", 0, b"", 0)
        avoid: set[str] = set()
        # Tries that may have run; only the first such try may be called the
        # first, so that an entry never says "not run" of a run it missed.
        exposed = 0
        earlier: list[str] = []
        for attempt in range(1, MAX_TRIES + 1):
            remaining = deadline - clocks.elapsed()
            if remaining <= 0:
                break
            address = self._address(avoid)
            answer, again, wait = self._try(
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

    def _try(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        key: str,
        attempt: int,
        remaining: float,
    ) -> tuple[Answer, bool, float]:
        """Return the answer, whether to try again, and after how long."""
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
        try:
            resp = self._http.request(
                method,
                f"http://{address}{path}",
                body=body or None,
                headers=headers,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_SECONDS, read=remaining + 2.0
                ),
            )
            run = resp.headers.get(RUN_HEADER, "")
            for chunk in resp.stream(65536):
                times.append(clocks.elapsed())
                received += chunk
            resp.release_conn()
        except urllib3.exceptions.HTTPError as exc:
            self._kept_until = 0.0
            if run and received:
                rest = self._resume(run, received, address)
                if rest is not None:
                    done = _answer(200, received + rest, attempt)
                    return (
                        done._replace(code=1000, outcome="completed"),
                        (False),
                        0.0,
                    )
            again = bool(key) or method == "GET" or not received
            broken = Answer(0, "unknown", 0, received, attempt)
            return broken._replace(error=repr(exc)), again, 0.05
        answer = _answer(resp.status, received, attempt)._replace(
            code=int(resp.headers.get(CODE_HEADER, "0")),
            outcome=resp.headers.get(OUTCOME_HEADER, "unknown"),
            first_token_s=times[0] - started if times else 0.0,
            gaps_s=tuple(b - a for a, b in zip(times, times[1:], strict=False)),
        )
        if resp.status < 400:
            return answer, False, 0.0
        return (answer, *_advice(answer, key))

    def _resume(self, run: str, received: bytes, failed: str) -> bytes | None:
        """Read the rest of a broken stream through another entry."""
        for _ in range(MAX_TRIES):
            address = self._address({failed})
            url = f"http://{address}/v1/runs/{run}?offset={len(received)}"
            try:
                resp = self._http.request("GET", url, timeout=30.0)
            except urllib3.exceptions.HTTPError:
                time.sleep(0.1)
                continue
            if resp.status != 200:
                return None
            return resp.data
        return None

    def _address(self, avoid: set[str]) -> str:
        if clocks.elapsed() >= self._kept_until:
            self._refresh()
        usable = [(a, w) for a, w in self._kept if a not in avoid]
        if not usable:
            usable = self._kept
        if not usable:
            return self._rng.choice(self._seeds)
        names = [a for a, _ in usable]
        weights = [w for _, w in usable]
        return self._rng.choices(names, weights)[0]

    def _refresh(self) -> None:
        salt = secrets.token_hex(4)
        query = f"place={self._place}&service={self._service}&salt={salt}"
        candidates = [a for a, _ in self._kept] + self._seeds
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
                self._kept = [
                    (a["http"], a["weight"]) for a in answer["addresses"]
                ]
                self._kept_until = clocks.elapsed() + answer["ttl_s"]
                return


def _answer(status: int, body: bytes, tries: int) -> Answer:
    return Answer(0, "unknown", status, body, tries)


def _advice(answer: Answer, key: str) -> tuple[bool, float]:
    """Return whether the error's own words allow another try, and when."""
    try:
        error = json.loads(answer.body)["error"]
    except (ValueError, KeyError):
        return False, 0.0
    wait = float(error.get("retry_after_s", 0.1))
    if error.get("retry"):
        return True, wait
    return bool(key) and answer.outcome == "unknown", wait
