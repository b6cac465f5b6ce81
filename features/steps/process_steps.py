"""Steps on real processes; every wait is for a state, never for a time."""

import concurrent.futures
import json
import os
import signal
import socket
import threading
import time

from behave import given
from behave import then
from behave import when
import urllib3

from jasperweir import client as client_lib
from jasperweir.helpers import link as link_lib
from standins import deployment
from standins import engine as engine_lib
from standins import local as local_lib

PLACES = deployment.PLACES
CONTROLS = deployment.CONTROLS
ENTRIES = deployment.ENTRIES
BUNDLE = deployment.BUNDLE


def build(context, keys="", group=False):
    context.local = local_lib.LocalDeployment(folder=context.folder)
    context.local.keys_file = keys
    write_bundle(context, 60)
    deployment.bring_up(context.local, context.bundle, group=group)
    context.client = client_lib.Client(
        seeds=context.local.entry_http(), customer="c"
    )
    context.local.wait_for("claims at rest", lambda: claims_at_rest(context))


def claims_at_rest(context):
    """Tell whether all entries own claims, in one view that is repaired."""
    local = context.local
    _, control = local.get(local.specs["control-1"].http, "/status")
    view = control["view"]
    if {member[0] for member in view["members"]} != set(ENTRIES):
        return False
    for name in ENTRIES:
        _, entry = local.get(local.specs[name].http, "/readyz")
        if entry["claims_epoch"] != view["epoch"]:
            return False
        if entry["claims_ready_epoch"] != view["epoch"]:
            return False
    return True


def write_bundle(context, deadline):
    context.bundle = context.folder / "bundle.ini"
    context.bundle.write_text(BUNDLE.format(deadline=deadline))


@given("a running deployment")
def running(context):
    build(context)


@given("a running deployment with a group of two hosts")
def running_with_group(context):
    build(context, group=True)
    context.local.wait_for("steps", lambda: verdict(context)["steps"] > 40)


def verdict(context):
    return context.local.get("127.0.3.1:19000", "/verdict")[1]


def coordinator(context):
    for name in ("agent-1", "agent-2"):
        if name not in context.local.procs:
            continue
        address = context.local.specs[name].http
        _, found = context.local.get(address, "/experts")
        if found and found["role"] == "coordinator":
            return name, found["term"]
    return "", 0


@when("the coordinator of the group is killed and restarted")
def kill_coordinator(context):
    local = context.local
    name, context.term = coordinator(context)
    local.kill(name)
    local.start(name)


@when("the coordinator of the group freezes until it is replaced and thaws")
def freeze_coordinator(context):
    local = context.local
    name, context.term = coordinator(context)
    local.signal(name, signal.SIGSTOP)
    other = ({"agent-1", "agent-2"} - {name}).pop()
    address = local.specs[other].http

    def replaced():
        _, found = local.get(address, "/experts")
        return found and found["role"] == "coordinator"

    local.wait_for("another coordinator", replaced)
    local.signal(name, signal.SIGCONT)


@then("the group steps on, every step under one map")
def steps_on(context):
    local = context.local

    def newer():
        return coordinator(context)[1] > context.term

    local.wait_for("a newer term", newer)
    count = verdict(context)["steps"]
    local.wait_for("steps", lambda: verdict(context)["steps"] > count + 100)
    assert verdict(context)["violations"] == [], verdict(context)


@then("the coordinator shows both users' weights side by side")
def side_by_side(context):
    name, _ = coordinator(context)
    address = context.local.specs[name].http
    _, found = context.local.get(address, "/experts")
    weights = [choice["skew_weight"] for choice in found["choices"]]
    assert weights == [0.1, 0.9], found


@given("a running deployment with keys")
def running_with_keys(context):
    keys = link_lib.generate_keys()
    path = context.folder / "keys"
    path.write_bytes(keys.public + b"\n" + keys.secret + b"\n")
    build(context, str(path))


def sign_off(context, deadline, *args):
    write_bundle(context, deadline)
    return context.local.cli(
        "bundle", "sign-off", "--file", str(context.bundle), *args
    )


@when("the leader process is frozen")
def freeze(context):
    local = context.local
    local.wait_for("leader", lambda: deployment.leader(local))
    context.old = deployment.leader(local)
    local.signal(context.old, signal.SIGSTOP)


@then("another control VM leads and accepts a change")
def other_leads(context):
    local = context.local
    rest = [n for n in CONTROLS if n != context.old]

    def found():
        states = [deployment.status(local, n) for n in rest]
        return any(s and s["role"] == "leader" for s in states)

    local.wait_for("new leader", found)
    context.accepted = sign_off(context, 61)["version"]
    assert context.accepted == 2


@then("requests are answered meanwhile")
def answered(context):
    for i in range(12):
        messages = [{"role": "user", "content": f"meanwhile {i}"}]
        answer = context.client.complete("m", messages, stream=i % 2 == 0)
        prompt = json.dumps(messages, sort_keys=True)
        assert answer.status == 200, answer
        assert answer.text() == engine_lib.answer_text(prompt, 20)


@when("the frozen process thaws")
def thaw(context):
    context.local.signal(context.old, signal.SIGCONT)


@then("all control VMs agree and nothing accepted is lost")
def agree(context):
    local = context.local

    def same():
        states = [deployment.status(local, n) for n in CONTROLS]
        heads = {s["head"] for s in states if s}
        leads = [s for s in states if s and s["role"] == "leader"]
        return heads == {context.accepted} and len(leads) == 1

    local.wait_for("agreement", same)


@when("changes go on while the leader is killed and restarted")
def changes_under_kill(context):
    local = context.local
    context.versions = []
    stop = threading.Event()

    def change():
        number = 100
        while not stop.is_set():
            number += 1
            answer = sign_off(context, number, "--op-id", f"op-{number}")
            context.versions.append(answer.get("version"))

    thread = threading.Thread(target=change)
    thread.start()
    for _ in range(2):
        local.wait_for("leader", lambda: deployment.leader(local))
        count = len(accepted(context))
        local.wait_for("changes", lambda n=count: len(accepted(context)) > n)
        name = deployment.leader(local)
        local.kill(name)
        local.start(name)
    stop.set()
    thread.join()


def accepted(context):
    return [v for v in context.versions if v]


@then("every accepted change is in the log once")
def once(context):
    versions = accepted(context)
    assert len(versions) >= 2, versions
    assert len(set(versions)) == len(versions), versions
    context.accepted = max(versions)
    agree(context)


@when("a follower loses its data folder")
def lose_folder(context):
    local = context.local
    local.wait_for("leader", lambda: deployment.leader(local))
    context.old = next(n for n in CONTROLS if n != deployment.leader(local))
    local.kill(context.old)
    folder = context.folder / f"{context.old}.data"
    for path in folder.iterdir():
        path.unlink()
    local.start(context.old)
    local.wait_for("back", lambda: deployment.status(local, context.old))


@then("it does not vote under its old seat")
def no_vote(context):
    local = context.local
    rest = next(
        n for n in CONTROLS if n not in (context.old, deployment.leader(local))
    )
    local.kill(rest)
    lead = deployment.leader(local)
    local.wait_for(
        "step-down", lambda: deployment.status(local, lead)["role"] != "leader"
    )
    local.start(rest)
    local.wait_for("leader", lambda: deployment.leader(local))


@when("the operator removes and adds its seat")
def reseat(context):
    deployment.change_seat(context.local, "remove", context.old)
    context.local.add_seat(context.old)


@then("it votes again and holds every version")
def votes_again(context):
    local = context.local
    context.accepted = sign_off(context, 62)["version"]
    agree(context)
    lead = deployment.status(local, deployment.leader(local))
    assert [context.old, True] in [[s[0], s[3]] for s in lead["seats"]]


@when("two operators sign off at once")
def two_operators(context):
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        paths = []
        for i in (1, 2):
            path = context.folder / f"b{i}.ini"
            path.write_text(BUNDLE.format(deadline=70 + i))
            paths.append(path)
        futs = [
            pool.submit(
                context.local.cli,
                *("bundle", "sign-off", "--file", str(p), "--parent", "1"),
            )
            for p in paths
        ]
        context.answers = [f.result() for f in futs]


@then("exactly one wins and the other is told so")
def one_told(context):
    won = [a for a in context.answers if a.get("version") == 2]
    lost = [a["error"]["code"] for a in context.answers if "error" in a]
    assert len([a for a in won if "error" not in a]) == 1, context.answers
    assert lost == [5001], context.answers


@when("an entry is stopped, {count:d} changes pass, and it restarts")
def many_changes(context, count):
    local = context.local
    local.kill("entry-3")
    lead = local.specs[deployment.leader(local)].http
    http = urllib3.PoolManager()
    headers = {"Authorization": f"Bearer {local_lib.TOKEN}"}
    _, found = local.get(lead, "/bundle/1")
    content = found["content"]
    for i in range(count):
        value = str(100 + i)
        key = "callers\x1fdeadline_s"
        content = {**content, key: value}
        body = {
            "op_id": f"many-{i}",
            "parent": i + 1,
            "change": {key: value},
            "content_hash": digest_of(content),
            "note": "",
        }
        url = f"http://{lead}/ops/sign_off"
        resp = http.request("POST", url, json=body, headers=headers)
        assert resp.status == 200, resp.data
    context.accepted = count + 1
    local.cli("bundle", "roll", "--version", str(context.accepted))
    local.start("entry-3")


def digest_of(content):
    from jasperweir.components.bundle import flat_content

    return flat_content.content_hash(content)


@then("it serves under the newest version")
def newest(context):
    local = context.local
    address = local.specs["entry-3"].http

    def there():
        code, found = local.get(address, "/readyz")
        return code == 200 and found["version"] == context.accepted

    local.wait_for("newest version", there)


@when("every control VM is killed")
def kill_control(context):
    for name in CONTROLS:
        context.local.kill(name)


def stream(context, number, tokens=60):
    messages = [{"role": "user", "content": f"long {number}"}]
    caller = client_lib.Client(
        seeds=context.local.entry_http(), customer="c", seed=number
    )
    answer = caller.complete(
        "m", messages, stream=True, max_tokens=tokens, key=f"key-{number}",
        user=f"u{number}",
    )  # fmt: skip
    prompt = json.dumps(messages, sort_keys=True)
    right = answer.status == 200 and answer.text() == (
        engine_lib.answer_text(prompt, tokens)
    )
    return right, answer


def model_runs(context):
    total = {}
    for address in ("127.0.3.1:19000", "127.0.3.2:19000"):
        _, ledger = context.local.get(address, "/ledger")
        for key, count in ledger["started"].items():
            total[key] = total.get(key, 0) + count
    return total


@when("an entry is killed while callers read streams")
def kill_entry(context):
    local = context.local
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        futs = [pool.submit(stream, context, i) for i in range(12)]
        local.wait_for("streams", lambda: len(model_runs(context)) >= 6)
        local.kill("entry-1")
        context.results = [f.result() for f in futs]


@then("every caller has its own whole answer and each ran once")
def whole_once(context):
    wrong = [a for right, a in context.results if not right]
    assert not wrong, wrong
    runs = model_runs(context)
    assert set(runs.values()) == {1} and len(runs) == 12, runs


def plain_stream(context, number):
    messages = [{"role": "user", "content": f"plain {number}"}]
    caller = client_lib.Client(
        seeds=context.local.entry_http(), customer="c", seed=number
    )
    answer = caller.complete(
        "m", messages, stream=number % 2 == 0, deadline_s=30.0
    )
    prompt = json.dumps(messages, sort_keys=True)
    text = engine_lib.answer_text(prompt, 20)
    return answer.status == 200 and answer.text() == text, answer


@when("an agent is frozen and callers ask for streams and whole answers")
def freeze_agent(context):
    answered(context)
    context.local.signal("agent-1", signal.SIGSTOP)
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        numbers = range(12)
        context.results = list(
            pool.map(lambda n: plain_stream(context, n), numbers)
        )
    context.local.signal("agent-1", signal.SIGCONT)


@then("every caller has its own whole answer")
def own_answers(context):
    wrong = [a for right, a in context.results if not right]
    assert not wrong, wrong


@then("requests were sent to a second target beside the first")
def hedges(context):
    found = [
        context.local.http.request("GET", f"http://{a}/metrics").data
        for a in context.local.entry_http()
    ]
    assert any(b"jasperweir_hedges" in data for data in found)


@when("the booking agent is killed and restarted under load")
def kill_agent(context):
    local = context.local
    context.told = {}
    stop = threading.Event()

    def book(worker):
        caller = client_lib.Client(
            seeds=local.entry_http(), customer="c", seed=worker
        )
        number = 0
        while not stop.is_set():
            number += 1
            name = f"b{worker}-{number}"
            body = json.dumps({"id": name}).encode()
            answer = caller.call(
                "POST", "/svc/book/book", body, key=name, deadline_s=6.0
            )
            context.told[name] = answer

    threads = [threading.Thread(target=book, args=(i,)) for i in range(6)]
    for thread in threads:
        thread.start()
    for _ in range(2):
        count = len(context.told)
        local.wait_for("load", lambda n=count: len(context.told) > n + 30)
        local.kill("agent-3")
        local.start("agent-3")
        local.wait_for("agent", lambda: local.ready("agent-3"))
    count = len(context.told)
    local.wait_for("load", lambda n=count: len(context.told) > n + 30)
    stop.set()
    for thread in threads:
        thread.join()


@then("no booking ran twice and no caller was told something false")
def ledger_true(context):
    _, ledger = context.local.get("127.0.3.3:19000", "/ledger")
    started = ledger["started"]
    assert max(started.values()) == 1, started
    for name, answer in context.told.items():
        ran = started.get(name, 0)
        if answer.outcome == "completed":
            assert ran == 1, (name, answer)
        if answer.outcome == "not_run":
            assert ran == 0, (name, answer)
    completed = [a for a in context.told.values() if a.status == 200]
    assert len(completed) > 60, len(completed)


@when("all entries are restarted one by one while callers go on")
def rolling(context):
    local = context.local
    context.results = []
    stop = threading.Event()

    def call(worker):
        caller = client_lib.Client(
            seeds=local.entry_http(), customer="c", seed=worker
        )
        number = 0
        while not stop.is_set():
            number += 1
            messages = [{"role": "user", "content": f"{worker}/{number}"}]
            answer = caller.complete("m", messages, stream=True)
            prompt = json.dumps(messages, sort_keys=True)
            right = answer.status == 200 and answer.text() == (
                engine_lib.answer_text(prompt, 20)
            )
            context.results.append((right and answer.tries == 1, answer))

    threads = [threading.Thread(target=call, args=(i,)) for i in range(6)]
    for thread in threads:
        thread.start()
    try:
        for name in ENTRIES:
            code = local.stop(name, seconds=60)
            assert code == 0, f"{name} ended with {code}"
            local.start(name)
            local.wait_for("entry back", lambda n=name: local.ready(n))
    finally:
        # Callers end with the step, also when it fails.
        stop.set()
        for thread in threads:
            thread.join()


@then("no request was cut off")
def none_cut(context):
    wrong = [a for right, a in context.results if not right]
    assert not wrong, wrong[:3]
    assert len(context.results) > 50


@when("an agent is asked to stop in the midst of a long stream")
def agent_stop(context):
    local = context.local
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futs = [pool.submit(stream, context, i, 200) for i in range(8)]
        local.wait_for("streams", lambda: len(model_runs(context)) == 8)
        context.exit = local.stop("agent-1", seconds=60)
        context.results = [f.result() for f in futs]


@then("the stream ends whole and the agent exits by itself")
def ended_whole(context):
    assert context.exit == 0, context.exit
    wrong = [a for right, a in context.results if not right]
    assert not wrong, wrong
    assert set(model_runs(context).values()) == {1}


BAD = (
    (b"{", {}, 4001),
    (b'{"model": "nope", "messages": []}', {}, 4002),
    (b'{"model": "m", "messages": []}', {"Jasperweir-Deadline": "x"}, 4004),
    (b'{"model": "m", "messages": []}', {"Jasperweir-Deadline": "-1"}, 4004),
    (b'{"model": "m", "messages": []}', {"Jasperweir-Priority": "99"}, 4010),
    (b'{"model": "m", "messages": []}', {"Idempotency-Key": "k" * 300}, 4010),
    (b"[" * 5000, {}, 4001),
)  # fmt: skip


@then("each kind of bad input gets its numbered error")
def bad_input(context):
    local = context.local
    url = f"http://{local.specs['entry-1'].http}"
    for body, headers, code in BAD:
        resp = local.http.request(
            "POST", url + "/v1/chat/completions", body=body, headers=headers
        )
        assert resp.json()["error"]["code"] == code, (body[:40], resp.data)
    resp = local.http.request("POST", url + "/svc/book/book", body=b"{}")
    assert resp.json()["error"]["code"] == 4007
    resp = local.http.request("GET", url + "/nothing")
    assert resp.json()["error"]["code"] == 4009
    flood = {f"X-{i}": "y" * 500 for i in range(100)}
    resp = local.http.request("GET", url + "/readyz", headers=flood)
    assert resp.status == 431, resp.status
    large = b"x" * (5 * 1024 * 1024)
    try:
        resp = local.http.request(
            "POST", url + "/v1/chat/completions", body=large
        )
        assert resp.status == 413, resp.status
    except urllib3.exceptions.HTTPError:
        pass


@then("garbage on the internal ports is dropped")
def garbage(context):
    local = context.local
    for name in ("entry-1", "control-1", "agent-1"):
        host, _, port = local.specs[name].internal.partition(":")
        for data in (b"GET / HTTP/1.1\r\n\r\n", os.urandom(4096), b"\x00" * 99):
            with socket.create_connection((host, int(port)), 2) as sock:
                sock.sendall(data)
    bad = link_lib.Link(
        name="stranger",
        address="127.0.5.1:17000",
        incarnation=lambda: 1,
        deliver=lambda received: None,
    )
    bad.start()
    bad.learn("entry-1", local.specs["entry-1"].internal)
    for data in (b"", b"junk", os.urandom(64), b"\x98" * 32):
        bad._outgoing.put(("entry-1", data))
    bad._wake()
    time.sleep(0.2)
    bad.stop()

    def counted():
        resp = local.http.request(
            "GET", f"http://{local.specs['entry-1'].http}/metrics"
        )
        return b"dropped_malformed" in resp.data

    local.wait_for("counted", counted)
    assert all(proc.poll() is None for proc in local.procs.values())


@then("a process with other keys is not heard")
def other_keys(context):
    local = context.local
    heard = []
    for keys in (None, link_lib.generate_keys()):
        stranger = link_lib.Link(
            name="stranger",
            address=f"127.0.5.{2 + bool(keys)}:17000",
            incarnation=lambda: 1,
            deliver=heard.append,
            keys=keys,
        )
        stranger.start()
        spec = local.specs["entry-1"]
        stranger.learn("entry-1", spec.internal)
        from jasperweir.components.control import messages

        stranger.send("entry-1", messages.MinRevisionRequest(nonce=1))
        time.sleep(0.5)
        stranger.stop()
    _, found = local.get(local.specs["control-1"].http, "/targets")
    assert "stranger" not in [m["name"] for m in found["members"]]
    resp = local.http.request("GET", f"http://{spec.http}/metrics")
    assert not heard and b'kind="dropped' not in resp.data
