"""Steps for responses whose head ends early."""

import concurrent.futures
import gc
import time

from behave import given
from behave import then
from behave import when

from features.harness import answer_scripts
from features.harness import cut_heads

WORKERS = 16
# Every so many bytes through an entry, and behind an agent.
ENTRY_STEP = 3
AGENT_STEP = 11
ROUTES = {
    "safe": "safe",
    "once": "unsafe",
    "resumable": "resumable stream",
}
WHOLE = answer_scripts.Script(
    (
        answer_scripts.head(b"Content-Length: 2", media=b"application/json")
        + b"{}",
    )
)


@when("a peer cuts its head off at every byte before the {reader}")
def step_cut_before(context, reader):
    cuts = cut_heads.list_cuts()
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        taken = pool.map(lambda cut: cut_heads.read(reader, *cut), cuts)
        context.taken = [
            cut for cut, is_taken in zip(cuts, taken, strict=True) if is_taken
        ]
    context.count = len(cuts)
    # Readers leave the closing of their sockets to the collector.
    gc.collect()


@then("no cut head is taken for a response")
def step_none_taken(context):
    taken = context.taken
    assert not taken, f"{len(taken)} of {context.count}: {taken[:5]}"


def cut_script(cut, end):
    return answer_scripts.Script((cut,), end)


@when('all targets cut their heads off at every byte on a "{route}" route')
def step_all_cut(context, route):
    context.received = [
        (cut, answer_scripts.run(ROUTES[route], cut_script(*cut)))
        for cut in cut_heads.list_cuts(ENTRY_STEP)
    ]


@then("no caller gets a success")
def step_no_success(context):
    for cut, received in context.received:
        assert not 200 <= received.status < 300, (cut, received)
        assert received.asked, cut


@when(
    "one target cuts its head off at every byte and another one answers whole"
)
def step_second_whole(context):
    context.received = [
        (cut, answer_scripts.run("safe", cut_script(*cut), WHOLE))
        for cut in cut_heads.list_cuts(ENTRY_STEP)
    ]


@then("every caller gets the whole answer of the second one")
def step_whole_second(context):
    for cut, received in context.received:
        found = (received.status, received.body, received.is_whole)
        assert found == (200, b"{}", True), (cut, received)
        assert len(received.asked) == 2, (cut, received)


def broken_stream():
    head = answer_scripts.head(answer_scripts.CHUNKED)
    first = answer_scripts.chunks(answer_scripts.event(1), last=False)
    return answer_scripts.Script((head + first,), "reset")


@when("a stream breaks off and is resumed by a head that arrives byte by byte")
def step_resume_slowly(context):
    head = answer_scripts.head(answer_scripts.CHUNKED)
    events = [answer_scripts.event(number) for number in (2, 3)]
    parts = [head[at : at + 1] for at in range(len(head))]
    resumed = answer_scripts.Script((*parts, answer_scripts.chunks(*events)))
    context.events = b"".join([answer_scripts.event(1), *events])
    context.received = answer_scripts.run(
        ROUTES["resumable"], broken_stream(), resumed, attempts=3
    )


@then("the caller gets every event of the stream once")
def step_every_event(context):
    received = context.received
    assert (received.status, received.is_whole) == (200, True), received
    assert received.body == context.events, received


@when(
    "a stream breaks off and the heads of all others are cut off at every byte"
)
def step_resume_cut(context):
    context.received = [
        (
            cut,
            answer_scripts.run(
                ROUTES["resumable"], broken_stream(), cut_script(*cut)
            ),
        )
        for cut in cut_heads.list_cuts(ENTRY_STEP)
    ]


@then("no caller's stream looks complete")
def step_not_complete(context):
    for cut, received in context.received:
        assert received.body == answer_scripts.event(1), (cut, received)
        assert not received.is_whole, (cut, received)
        assert len(received.asked) > 1, cut


@given("a whole system in one process whose engine cuts its heads off")
def step_system(context):
    context.system = cut_heads.System()
    context.add_cleanup(context.system.stop)
    for _ in range(100):
        whole = context.system.call()
        if whole.status == 200:
            break
        time.sleep(0.1)
    assert (whole.status, whole.is_complete) == (200, True), whole


@when("a caller sends a request for each byte at which a head is cut off")
def step_send(context):
    engine = context.system.engine
    context.received = []
    for cut in cut_heads.list_cuts(AGENT_STEP):
        engine.cut, engine.end = cut
        attempts = engine.attempts
        answer = context.system.call()
        context.received.append((cut, answer, engine.attempts - attempts))


@then("no caller of the system gets a success")
def step_no_success_behind_agent(context):
    assert len(context.received) > 50, len(context.received)
    for cut, answer, _ in context.received:
        assert not (answer.status == 200 and answer.is_complete), (cut, answer)
    ran = sum(bool(attempts) for _, _, attempts in context.received)
    assert ran > len(context.received) / 2, ran
