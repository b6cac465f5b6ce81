"""A group of ranks with its engine calls, as PROTOCOL.md describes it.

All ranks of the group run in one event loop, so that a pass begins at all of
them at one moment. Orders are judged when they are carried out.
"""

import asyncio
import json
import random
import threading

SETS, EXPERTS, PLACEMENTS, SPARE = 2, 16, 11, 2
COPY_S = 0.04
PASS_S = 0.03
FORM_S = 0.6


def engine_section():
    """Return `inferenceEngine` of the group's service."""
    return {
        "slots": 6,
        "kvCapacity": 186000,
        "kvBytes": 192512,
        "linkMbps": 180000.0,
        "stride": 5,
        "models": [{"name": "m"}],
        "step_ms": 5.85,
        "per_seq_ms": 0.71,
        "context_per_k": 0.072,
        "read_per_s": 61200.0,
        "pairs_per_m": 0.325,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loadsPerS": 0.0,
        "loads_at_once": 8,
        "delays": [],
        "usual": {"prompt": 835, "answer": 139},
        "sets": SETS,
        "experts": EXPERTS,
        "placements": PLACEMENTS,
        "spareSlots": SPARE,
        "expertMb": 880.0,
        "expertShare": 0.85,
        "form_ms": FORM_S * 1000,
    }


class Rank:
    """State of one rank; all of it is lost when the group forms anew."""

    def __init__(self, group, number, address, replica_id):
        """Create a rank on map 0."""
        self.group = group
        self.number = number
        self.address = address
        self.id = replica_id
        self.sequence = 0
        self.version = 0
        size = group.size
        self.map = [
            [list(range(r, EXPERTS, size)) for r in range(size)]
            for _ in range(SETS)
        ]
        self.seen = 0
        self.preloaded = None
        self.content = {}
        self.armed = None
        self.held = None
        self.counts = [0] * (SETS * EXPERTS)
        self.running = 0

    def report(self):
        """Return the body of `GET /report`."""
        return {
            "phase": "unified",
            "models": [{"name": "m", "version": 1, "adapterIds": []}],
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "active": self.running,
            "kvUsedTokens": 0,
            "kvTotalTokens": 186000,
            "kvHandles": 0,
            "pace": 1.0,
            "step": self.group.step,
            "mapping": self.version,
            "preloaded": self.preloaded,
            "enabled": (
                {"version": self.armed[0], "step": self.armed[1]}
                if self.armed
                else None
            ),
            "held": self.held,
            "size": self.group.size,
            "group": {
                "name": "g1",
                "epoch": self.group.epoch,
                "rank": self.number,
                "state": "open",
            },
        }

    def carry_out(self, order):
        """Carry an order out; return the status."""
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        status = self._do(order)
        if status == 202:
            self.sequence += 1
        return status

    def _do(self, order):
        match order["operation"]:
            case "prepare":
                return self._prepare(order["version"], order["mapping"])
            case "arm":
                want = (order["version"], order["step"])
                if self.armed == want:
                    return 200
                if self.preloaded != want[0] or want[1] <= self.group.step:
                    return 409
                self.armed = want
                return 202
            case "disarm":
                if order["version"] == self.version:
                    return 409
                if self.armed and self.armed[0] == order["version"]:
                    self.armed = None
                    return 202
                return 200
            case "retention":
                if self.held == order["step"]:
                    return 200
                if order["step"] <= self.group.step or self.held is not None:
                    return 409
                self.held = order["step"]
                return 202
            case "go":
                if self.held == order["step"]:
                    self.held = None
                    self.group.wake.set()
                    return 202
                return 200
        return 400

    def _prepare(self, version, mapping):
        if version == self.preloaded:
            return 200
        if version <= self.seen or self.armed:
            return 409
        copies = 0
        for now, new in zip(self.map, mapping, strict=True):
            fresh = set(new[self.number]) - set(now[self.number])
            if len(fresh) > SPARE or len(new[self.number]) > PLACEMENTS:
                return 409
            if set().union(*new) != set(range(EXPERTS)):
                return 409
            copies += len(fresh)
        self.seen = version
        self.preloaded = None
        self.content = {version: mapping}
        epoch = self.group.epoch

        def done():
            if self.group.epoch == epoch and self.seen == version:
                self.preloaded = version

        if copies:
            asyncio.get_running_loop().call_later(COPY_S * copies, done)
        else:
            done()
        return 202


class Group:
    """Ranks that run each pass together.

    Attributes:
        on_order: Called with rank and order; returns None to carry it out and
            answer, or the seconds after which it is carried out unanswered.
        on_carried: Called with rank, order and status after each order.
        broken: What broke the rule MAP, empty if nothing did.
    """

    def __init__(self, record, addresses, ids, seed=1):
        """Serve on the addresses in a thread of its own."""
        self.record = record
        self.size = len(addresses)
        self.step = 0
        self.epoch = 1
        self.rng = random.Random(seed)
        self.ranks = [
            Rank(self, n, address, rid)
            for n, (address, rid) in enumerate(zip(addresses, ids, strict=True))
        ]
        self.on_order = lambda rank, order: None
        self.on_carried = lambda rank, order, status: None
        self.broken = ""
        self.switches = 0
        self.stalled_s = 0.0
        self.arrived = []
        self.answered = []
        self.topic = 0
        self.orders = 0
        self.unanswered = 0
        self._streams = {}
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()
        self._started.wait(5)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._main())

    async def _main(self):
        self.wake = asyncio.Event()
        for rank in self.ranks:
            host, _, port = rank.address.rpartition(":")
            await asyncio.start_server(
                lambda r, w, rank=rank: self._serve(rank, r, w),
                host,
                int(port),
            )
        self._started.set()
        while True:
            self.wake.clear()
            if not self._streams:
                await self.wake.wait()
                continue
            if any(r.held == self.step + 1 for r in self.ranks):
                began = self._loop.time()
                await self.wake.wait()
                self.stalled_s += self._loop.time() - began
                continue
            self._begin_pass()
            await asyncio.sleep(PASS_S)
            self._write_events()

    def _begin_pass(self):
        self.step += 1
        was = self.ranks[0].version
        for rank in self.ranks:
            if rank.armed and rank.armed[1] <= self.step:
                rank.version = rank.armed[0]
                rank.map = rank.content[rank.version]
                rank.armed = None
        maps = {(r.version, json.dumps(r.map)) for r in self.ranks}
        if len(maps) > 1 and not self.broken:
            self.broken = (
                f"pass {self.step} began on maps"
                f" {[r.version for r in self.ranks]}"
            )
            self.record.add(f"MAP: {self.broken}")
        if self.ranks[0].version != was:
            self.switches += 1
            self.record.add(
                f"group: pass {self.step} switched to {self.ranks[0].version}"
            )
        for rank in self.ranks:
            for _ in range(40):
                for number in range(SETS):
                    e = (self.topic * 3 + self.rng.randint(0, 2)) % EXPERTS
                    if self.rng.random() < 0.3:
                        e = self.rng.randrange(EXPERTS)
                    rank.counts[number * EXPERTS + e] += 60

    def _write_events(self):
        for key, (queue, left) in list(self._streams.items()):
            queue.put_nowait(left > 1)
            if left <= 1:
                del self._streams[key]
            else:
                self._streams[key] = (queue, left - 1)

    async def _serve(self, rank, reader, writer):
        try:
            while await self._one(rank, reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _one(self, rank, reader, writer):
        line = (await reader.readline()).decode("latin-1").split()
        if len(line) < 3:
            return False
        headers = {}
        while row := (await reader.readline()).strip():
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        path = line[1]
        if path == "/report":
            self._json(writer, 200, rank.report())
        elif path.startswith("/picked?"):
            mapping = {
                "version": rank.version,
                "experts": [row[rank.number] for row in rank.map],
            }
            self._json(writer, 200, {"mapping": mapping, "preloaded": None})
        elif path == "/picked":
            found = {"step": self.step, "epoch": self.epoch}
            self._json(writer, 200, found | {"counts": rank.counts})
        elif path == "/order":
            return self._order(rank, json.loads(body), writer)
        else:
            await self._request(rank, headers, writer)
        await writer.drain()
        return True

    def _order(self, rank, order, writer):
        self.orders += 1
        late_s = self.on_order(rank, order)
        short = {k: v for k, v in order.items() if k != "mapping"}
        if late_s is not None:
            self.unanswered += 1
            self.record.add(f"rank {rank.number}: late {late_s:.1f} s {short}")

            def late():
                status = rank.carry_out(order)
                self.record.add(
                    f"rank {rank.number}: late order {status} {short}"
                )

            self._loop.call_later(late_s, late)
            return True
        status = rank.carry_out(order)
        self.record.add(f"rank {rank.number}: {status} {short}")
        self._json(writer, status, {})
        self.on_carried(rank, order, status)
        return True

    def _json(self, writer, status, body):
        data = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
        )

    async def _request(self, rank, headers, writer):
        rid = headers.get("attempt-id", "")
        if headers.get("target-instance", rank.id) != rank.id:
            writer.write(
                b"HTTP/1.1 421 X\r\nAttempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
                % rid.encode()
            )
            return
        self.arrived.append((self.record.now(), rid))
        rank.running += 1
        queue = asyncio.Queue()
        key = object()
        events = int(headers.get("x-events", "5"))
        after = int(headers.get("last-event-id") or 0)
        self._streams[key] = (queue, max(events - after, 1))
        self.wake.set()
        try:
            number, more = after, True
            while more:
                more = await queue.get()
                number += 1
                if number == after + 1:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\n"
                        b"Server-Signature: %b.%b\r\n"
                        b"Content-Type: text/event-stream\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n"
                        % (rid.encode(), rank.id.encode(), rid.encode())
                    )
                data = b"id: %d\ndata: p%d\n\n" % (number, number)
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            self.answered.append((self.record.now(), rid))
        finally:
            rank.running -= 1
            self._streams.pop(key, None)
