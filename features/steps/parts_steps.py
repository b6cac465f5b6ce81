"""Steps on smaller parts."""

import pathlib
import random
import threading

from behave import then
import numpy as np

from jasperweir import core
from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.agent import buffer as buffer_lib
from jasperweir.components.bundle import model
from jasperweir.components.burn import report
from jasperweir.components.burn import windows
from jasperweir.components.control import client as control_client
from jasperweir.components.control import messages as control_messages
from jasperweir.components.entry import agent_client
from jasperweir.components.entry import hedge
from jasperweir.components.entry import parsed_request as request_lib
from jasperweir.components.experts import popularity
from jasperweir.components.orders import planner as orders
from jasperweir.components.request import events
from jasperweir.helpers import codec
from jasperweir.helpers import web

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
Code = result_codes.Code


def no_floor():
    gate = orders.Gate()
    assert not gate.passes(orders.Order(99, "load_adapter", "fr"))
    gate.learn(50)
    assert gate.passes(orders.Order(99, "load_adapter", "fr"))


def old_fence():
    gate = orders.Gate()
    gate.learn(50)
    assert gate.passes(orders.Order(60, "load_adapter", "fr"))
    assert not gate.passes(orders.Order(59, "load_adapter", "fr"))
    assert not gate.passes(orders.Order(49, "load_adapter", "fr"))
    assert gate.refused == 2


def newest_orders():
    content = model.read(ROOT / "examples" / "souss.ini")
    plan = orders.Planner(service="weir-assist", role="both")
    has = orders.Reported(frozenset({"old"}), "decode", 0)
    due = plan.orders(model.typed(content), 7, has, 0.0)
    assert [(o.op, o.name, o.fence) for o in due] == [
        ("load_adapter", "ar", 7),
        ("load_adapter", "fr", 7),
        ("unload_adapter", "old", 7),
        ("set_role", "both", 7),
    ]
    assert plan.orders(model.typed(content), 7, has, 0.1) == []
    content["service weir-assist\x1fadapters"] = "fr"
    due = plan.orders(model.typed(content), 9, has, 5.0)
    assert ("load_adapter", "ar", 9) not in due


def readers():
    buf = buffer_lib.Buffer()
    found = {}

    def read(offset):
        found[offset] = b"".join(buf.read(offset))

    threads = [threading.Thread(target=read, args=(i,)) for i in (0, 3, 7)]
    for thread in threads:
        thread.start()
    buf.head(200, "text/plain")
    for chunk in (b"abcd", b"efgh", b"ij"):
        buf.append(chunk)
    buf.end(whole=True)
    for thread in threads:
        thread.join(10)
    assert found == {0: b"abcdefghij", 3: b"defghij", 7: b"hij"}, found


def refused_frame(data):
    try:
        codec.decode(data)
    except exceptions.FrameError:
        return True
    return False


def frames():
    good = codec.encode(
        control_messages.FloorAsk(nonce=1),
        src="a", src_inc=1, src_addr="x", dst="b",
    )  # fmt: skip
    env, msg = codec.decode(good)
    assert env.src == "a" and msg.nonce == 1
    rng = random.Random(1)
    for size in range(len(good)):
        assert refused_frame(good[:size])
    for _ in range(2000):
        damaged = bytearray(good)
        damaged[rng.randrange(len(good))] ^= 1 << rng.randrange(8)
        try:
            codec.decode(bytes(damaged))
        except exceptions.FrameError:
            continue
    assert refused_frame(b"\x00" * (codec.MAX_FRAME_BYTES + 1))
    assert refused_frame(
        good.replace(b"control.floor_ask", b"control.floor_axx")
    )
    assert refused_frame(b"\x98\x09" + good[2:])


class Recorder:
    """Service that notes when it is started and stopped."""

    def __init__(self, log, name):
        self.log, self.name = log, name

    def start(self):
        self.log.append(f"start {self.name}")

    def stop(self):
        self.log.append(f"stop {self.name}")


def kernel():
    log = []
    found = core.Kernel(clock=core.ManualClock(), seed=1)
    for name in ("one", "two"):
        found.register(name, Recorder(log, name))
    found.register("data", 5)
    assert found.get("data", int) == 5 and found.names()[0] == "one"
    try:
        found.get("none", int)
    except exceptions.ServiceNotFoundError:
        log.append("none")
    found.listen("topic", log.append)
    found.fire("topic", "event")
    found.start()
    found.stop()
    assert log == ["none", "event", "start one", "start two", "stop two",
                   "stop one"], log  # fmt: skip


def burn_rate():
    counts = windows.Windows()
    for i in range(100):
        verdict = "failed" if i < 20 else "good"
        counts.add("s", "c", verdict, 1000.0)
    assert abs(counts.burn({"s": 0.95}, 1000.0) - 4.0) < 1e-9
    # Ten minutes later the shortest window is clean again.
    assert counts.burn({"s": 0.95}, 1600.0) == 0.0


def burn_report():
    answers = []
    for node in ("e1", "e2"):
        counts = windows.Windows()
        for i in range(50):
            verdict = "late_first_token" if i < 5 else "good"
            counts.add("s", "opera", verdict, 1000.0)
        cells = [c._asdict() for c in counts.cells(60.0, 1000.0)]
        answers.append(
            {"node": node, "objectives": {"s": 0.95}, "cells": cells}
        )
    lines = report.merge(answers)
    whole = next(line for line in lines if not line.customer)
    assert (whole.total, whole.bad) == (100, 10)
    assert abs(whole.burn - 2.0) < 1e-9 and whole.budget_left == 0.0
    assert whole.causes == [("late_first_token", 10)]
    assert "opera" in report.as_text(lines)
    assert "<svg" in report.as_page(lines)


def codes_documented():
    text = (ROOT / "docs" / "RESULT_CODES.md").read_text(encoding="utf-8")
    for code, row in result_codes.TABLE.items():
        line = f"| {int(code)} | {code.name.lower()} | {row.http} |"
        assert line in text, line
    assert set(result_codes.TABLE) == set(Code)


def popular():
    found = popularity.Popularity(layers=2, experts=4)
    counts = np.array([[400.0, 300, 200, 100]] * 2) * 100
    found.observe(counts)
    gap = counts.copy()
    gap[0] = 0
    found.observe(gap)
    assert np.allclose(found.shares[0], [0.4, 0.3, 0.2, 0.1])
    found.observe(counts[:, ::-1])
    assert np.allclose(found.shares[1], [0.1, 0.2, 0.3, 0.4], atol=0.01)
    assert found.jumps == 2


def beats():
    client = control_client.Client(voters=("c1", "c2"), rng=random.Random(1))
    fields = {"inc": 1, "place": "p", "revision": 1, "ready_epoch": 1,
              "burn": 0.0}  # fmt: skip

    def beat(now):
        return [(a.dst, a.msg) for a in client.beat(**fields, now=now)]

    def ack(beat_id, every):
        return control_messages.BeatAck(beat_id, True, every, 4, "c2", "x", 1)

    (_, first), *_ = beat(1.2)
    assert client.on_ack(ack(first.beat_id, 5.0), 1.3) == (4, 1.2)
    # The leader was not known before: it is asked at once.
    ((dst, second),) = beat(1.4)
    assert dst == "c2"
    client.on_ack(ack(second.beat_id, 17.0), 1.5)
    assert beat(2.0) == []
    ((_, third),) = beat(6.5)
    client.on_ack(ack(third.beat_id, 17.0), 6.6)
    assert beat(23.0) == [] and beat(24.0) != []
    assert client.on_ack(ack(999, 5.0), 25.0) is None


def bundle():
    return model.typed(model.read(ROOT / "examples" / "souss.ini"))


def parse(path="/v1/chat/completions", method="POST", body=None, **headers):
    text = body or b'{"model": "weir-assist", "messages": []}'
    names = {k.replace("_", "-"): v for k, v in headers.items()}
    req = web.Req(method, path, {}, names, text)
    found = request_lib.parse(req, bundle())
    return found.value_or(None) or found.failure()


def bad_headers():
    for headers, code in (
        ({"jasperweir_deadline": "nan"}, Code.BAD_DEADLINE),
        ({"jasperweir_deadline": "0"}, Code.BAD_DEADLINE),
        ({"jasperweir_priority": "x"}, Code.BAD_HEADER),
        ({"jasperweir_attempt": "one"}, Code.BAD_HEADER),
        ({"jasperweir_customer": "c" * 500}, Code.BAD_HEADER),
        ({"idempotency_key": "a\x07b"}, Code.BAD_HEADER),
    ):
        assert parse(**headers).code == code, headers
    assert parse(body=b"[]").code == Code.BAD_REQUEST
    wrong = b'{"model": "weir-assist:zz", "messages": []}'
    assert parse(body=wrong).code == Code.UNKNOWN_SERVICE


def unsafe_needs_key():
    path = "/svc/slot-api/book"
    assert parse(path).code == Code.KEY_MISSING
    assert parse(path, method="GET").keyed is False
    keyed = parse(path, idempotency_key="k", jasperweir_attempt="1")
    assert keyed.keyed and keyed.is_first_try and keyed.key.endswith("\x1fk")


def raced(first, second):
    """Race two results; the first waits until the second has answered."""
    answered = threading.Event()

    def slow():
        answered.wait(10)
        return first

    def quick():
        answered.set()
        return second

    return hedge.race(slow, lambda: quick, delay=0.01)


def both_failed():
    ran = events.Broke(relayed=0)
    refused = events.Refused(reason="full")
    assert raced(refused, ran).result == ran
    assert raced(ran, refused).result == ran
    assert raced(refused, events.Unsent()).result in (refused, events.Unsent())


def second_wins():
    stream = agent_client.Stream(200, "", iter(()), lambda: None)
    found = raced(events.Broke(relayed=0), stream)
    assert found.second and found.result is stream
    found = hedge.race(lambda: stream, lambda: None, delay=10)
    assert not found.second and found.result is stream


def rejected_resend():
    def told(**headers):
        names = {k.replace("_", "-"): v for k, v in headers.items()}
        return request_lib.vouched(web.Req("POST", "/", {}, names, b""))

    assert told()
    assert not told(idempotency_key="k")
    assert not told(idempotency_key="k", jasperweir_attempt="2")
    assert told(idempotency_key="k", jasperweir_attempt="1")
    resp = web.code_resp(Code.UNKNOWN_SERVICE, vouched=False)
    assert dict(resp.headers)["Jasperweir-Outcome"] == "unknown"


RULES = {
    "a rejected resend is not told that nothing ran": rejected_resend,
    "of two failed tries the one that may have run is told": both_failed,
    "the second of two tries wins if it answers first": second_wins,
    "an agent without a floor passes no order": no_floor,
    "an order with an old fencing number is stopped": old_fence,
    "orders follow the newest bundle, superseded ones vanish": newest_orders,
    "several readers get one answer from any offset": readers,
    "frames that are damaged, foreign or large are refused": frames,
    "services find each other by name": kernel,
    "burn is bad answers over what is allowed": burn_rate,
    "the burn report merges entries and names causes": burn_report,
    "every result code has its row in the docs": codes_documented,
    "a popularity gap changes nothing and a jump is adopted": popular,
    "the beat follows the number of nodes": beats,
    "bad header values are refused by number": bad_headers,
    "a request without a key may not reach unsafe services": unsafe_needs_key,
}


@then("this holds: {rule}")
def part(context, rule):
    RULES[rule]()
