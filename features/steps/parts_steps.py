"""Steps that check rules of small components."""

import pathlib
import random
import threading

from behave import then
import numpy as np

from jasperweir import core
from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.agent import response_buffer
from jasperweir.components.bundle import flat_content
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


def check_unconfirmed_fence():
    gate = orders.FencingGate()
    assert not gate.admit(orders.Order(99, "load_adapter", "fr"))
    gate.raise_fence(50)
    assert gate.admit(orders.Order(99, "load_adapter", "fr"))


def check_old_fence():
    gate = orders.FencingGate()
    gate.raise_fence(50)
    assert gate.admit(orders.Order(60, "load_adapter", "fr"))
    assert not gate.admit(orders.Order(59, "load_adapter", "fr"))
    assert not gate.admit(orders.Order(49, "load_adapter", "fr"))
    assert gate.refused_count == 2


def check_newest_orders():
    content = flat_content.read(ROOT / "examples" / "souss.ini")
    plan = orders.Planner(service="weir-assist", role="both")
    has = orders.EngineState(frozenset({"old"}), "decode", 0)
    due = plan.plan(flat_content.typed(content), 7, has, 0.0)
    assert [(o.op, o.name, o.fence) for o in due] == [
        ("load_adapter", "ar", 7),
        ("load_adapter", "fr", 7),
        ("unload_adapter", "old", 7),
        ("set_role", "both", 7),
    ]
    assert plan.plan(flat_content.typed(content), 7, has, 0.1) == []
    content["service weir-assist\x1fadapters"] = "fr"
    due = plan.plan(flat_content.typed(content), 9, has, 5.0)
    assert ("load_adapter", "ar", 9) not in due


def check_concurrent_readers():
    buf = response_buffer.ResponseBuffer()
    found = {}

    def read(offset):
        found[offset] = b"".join(buf.read(offset))

    threads = [threading.Thread(target=read, args=(i,)) for i in (0, 3, 7)]
    for thread in threads:
        thread.start()
    buf.set_head(200, "text/plain")
    for chunk in (b"abcd", b"efgh", b"ij"):
        buf.append(chunk)
    buf.finish(whole=True)
    for thread in threads:
        thread.join(10)
    assert found == {0: b"abcdefghij", 3: b"defghij", 7: b"hij"}, found


def is_rejected(data):
    try:
        codec.decode(data)
    except exceptions.FrameError:
        return True
    return False


def check_frame_rejection():
    good = codec.encode(
        control_messages.MinRevisionRequest(nonce=1),
        src="a", src_inc=1, src_addr="x", dst="b",
    )  # fmt: skip
    env, msg = codec.decode(good)
    assert env.src == "a" and msg.nonce == 1
    rng = random.Random(1)
    for size in range(len(good)):
        assert is_rejected(good[:size])
    for _ in range(2000):
        damaged = bytearray(good)
        damaged[rng.randrange(len(good))] ^= 1 << rng.randrange(8)
        try:
            codec.decode(bytes(damaged))
        except exceptions.FrameError:
            continue
    assert is_rejected(b"\x00" * (codec.MAX_FRAME_BYTES + 1))
    assert is_rejected(good.replace(b"control.floor_ask", b"control.floor_axx"))
    assert is_rejected(b"\x98\x09" + good[2:])


class Recorder:
    """Service that records its starts and stops."""

    def __init__(self, log, name):
        self.log, self.name = log, name

    def start(self):
        self.log.append(f"start {self.name}")

    def stop(self):
        self.log.append(f"stop {self.name}")


def check_kernel():
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


def check_burn_rate():
    counts = windows.Windows()
    for i in range(100):
        verdict = "failed" if i < 20 else "good"
        counts.add("s", "c", verdict, 1000.0)
    assert abs(counts.worst_burn_rate({"s": 0.95}, 1000.0) - 4.0) < 1e-9
    # Ten minutes later the shortest window has no bad responses.
    assert counts.worst_burn_rate({"s": 0.95}, 1600.0) == 0.0


def check_burn_report():
    answers = []
    for node in ("e1", "e2"):
        counts = windows.Windows()
        for i in range(50):
            verdict = "late_first_token" if i < 5 else "good"
            counts.add("s", "opera", verdict, 1000.0)
        cells = [c._asdict() for c in counts.list_cells(60.0, 1000.0)]
        answers.append(
            {"node": node, "objectives": {"s": 0.95}, "cells": cells}
        )
    lines = report.merge(answers)
    whole = next(line for line in lines if not line.customer)
    assert (whole.total, whole.bad) == (100, 10)
    assert abs(whole.burn - 2.0) < 1e-9 and whole.budget_left == 0.0
    assert whole.causes == [("late_first_token", 10)]
    assert "opera" in report.format_text(lines)
    assert "<svg" in report.format_page(lines)


def check_codes_documented():
    text = (ROOT / "docs" / "RESULT_CODES.md").read_text(encoding="utf-8")
    for code, row in result_codes.TABLE.items():
        line = f"| {int(code)} | {code.name.lower()} | {row.http} |"
        assert line in text, line
    assert set(result_codes.TABLE) == set(Code)


def check_popularity():
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


def check_heartbeat_interval():
    client = control_client.ControlClient(
        voters=("c1", "c2"), rng=random.Random(1)
    )
    fields = {"inc": 1, "place": "p", "revision": 1, "ready_epoch": 1,
              "burn": 0.0}  # fmt: skip

    def beat(now):
        return [
            (a.dst, a.msg) for a in client.send_heartbeat(**fields, now=now)
        ]

    def ack(beat_id, every):
        return control_messages.HeartbeatAck(
            beat_id, True, every, 4, "c2", "x", 1
        )

    (_, first), *_ = beat(1.2)
    assert client.on_ack(ack(first.beat_id, 5.0), 1.3) == (4, 1.2)
    # The leader was unknown before, so its heartbeat is sent at once.
    ((dst, second),) = beat(1.4)
    assert dst == "c2"
    client.on_ack(ack(second.beat_id, 17.0), 1.5)
    assert beat(2.0) == []
    ((_, third),) = beat(6.5)
    client.on_ack(ack(third.beat_id, 17.0), 6.6)
    assert beat(23.0) == [] and beat(24.0) != []
    assert client.on_ack(ack(999, 5.0), 25.0) is None


def load_bundle():
    return flat_content.typed(
        flat_content.read(ROOT / "examples" / "souss.ini")
    )


def parse(path="/v1/chat/completions", method="POST", body=None, **headers):
    text = body or b'{"model": "weir-assist", "messages": []}'
    names = {k.replace("_", "-"): v for k, v in headers.items()}
    req = web.Req(method, path, {}, names, text)
    found = request_lib.parse(req, load_bundle())
    return found.value_or(None) or found.failure()


def check_invalid_headers():
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


def check_key_required():
    path = "/svc/slot-api/book"
    assert parse(path).code == Code.KEY_MISSING
    assert parse(path, method="GET").keyed is False
    keyed = parse(path, idempotency_key="k", jasperweir_attempt="1")
    assert keyed.keyed and keyed.is_first_try and keyed.key.endswith("\x1fk")


def race_results(first, second):
    """Race two attempts; the first waits until the second has finished."""
    answered = threading.Event()

    def slow():
        answered.wait(10)
        return first

    def quick():
        answered.set()
        return second

    return hedge.race(slow, lambda: quick, delay=0.01)


def check_both_failed():
    ran = events.Broke(relayed=0)
    refused = events.Refused(reason="full")
    assert race_results(refused, ran).result == ran
    assert race_results(ran, refused).result == ran
    assert race_results(refused, events.Unsent()).result in (
        refused,
        events.Unsent(),
    )


def check_second_wins():
    stream = agent_client.Stream(200, "", iter(()), lambda: None)
    found = race_results(events.Broke(relayed=0), stream)
    assert found.second and found.result is stream
    found = hedge.race(lambda: stream, lambda: None, delay=10)
    assert not found.second and found.result is stream


def check_rejected_resend():
    def is_vouched(**headers):
        names = {k.replace("_", "-"): v for k, v in headers.items()}
        return request_lib.vouched(web.Req("POST", "/", {}, names, b""))

    assert is_vouched()
    assert not is_vouched(idempotency_key="k")
    assert not is_vouched(idempotency_key="k", jasperweir_attempt="2")
    assert is_vouched(idempotency_key="k", jasperweir_attempt="1")
    resp = web.code_resp(Code.UNKNOWN_SERVICE, vouched=False)
    assert dict(resp.headers)["Jasperweir-Outcome"] == "unknown"


RULES = {
    "a rejected resend is not reported as not run": check_rejected_resend,
    "of two failed attempts the one that may have run is reported": (
        check_both_failed
    ),
    "the second of two attempts wins if it responds first": check_second_wins,
    "an agent without a confirmed fence rejects every order": (
        check_unconfirmed_fence
    ),
    "an order with an old fencing number is rejected": check_old_fence,
    "orders follow the newest bundle, superseded ones are not sent": (
        check_newest_orders
    ),
    "several readers read one response from any offset": (
        check_concurrent_readers
    ),
    "corrupt, unknown and oversized frames are rejected": check_frame_rejection,
    "services are found by name and stopped in reverse order": check_kernel,
    "the burn rate is the share of bad responses over the budget": (
        check_burn_rate
    ),
    "the burn report merges entries and lists causes": check_burn_report,
    "every result code is documented": check_codes_documented,
    "missing expert counts change nothing and a jump is adopted": (
        check_popularity
    ),
    "the heartbeat interval follows the acknowledgements": (
        check_heartbeat_interval
    ),
    "invalid header values get their result code": check_invalid_headers,
    "an unsafe service requires an idempotency key": check_key_required,
}


@then("this holds: {rule}")
def step_rule(context, rule):
    RULES[rule]()
