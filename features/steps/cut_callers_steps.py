"""Steps for cut_callers.feature."""

from behave import given
from behave import then
from behave import when

from features.harness import cut_callers


@given("a server of the platform's path")
def step_loop_server(context):
    context.server = cut_callers.LoopServer()
    context.add_cleanup(context.server.stop)
    context.ends = ("abort", "half-close", "bad request")


@given("a server of the own interface")
def step_thread_server(context):
    context.server = cut_callers.ThreadServer()
    context.add_cleanup(context.server.stop)
    context.ends = ("abort",)


@when("it breaks responses off that callers of each HTTP version requested")
def step_break_off(context):
    framings = ("length", "unknown length")
    play(context, cut_callers.list_cases(framings, context.ends))


@when("it responds to callers of each HTTP version")
def step_respond(context):
    play(context, cut_callers.list_cases(cut_callers.FRAMINGS, ("whole",)))


def play(context, cases):
    context.received = [(case, context.server.play(case)) for case in cases]


@then("none of them takes the response for complete")
def step_none_complete(context):
    faults = [
        (case, received)
        for case, received in context.received
        if received.is_complete
    ]
    assert not faults, f"{len(faults)}: {faults}"


@then("each of them reads the whole response")
def step_all_whole(context):
    for case, received in context.received:
        assert received.is_complete, (case, received)
        assert received.decoded == cut_callers.BODY, (case, received)


@then("HTTP/1.0 callers are sent no chunks")
def step_no_chunks(context):
    for case, received in context.received:
        if case.protocol.startswith("HTTP/1.0"):
            assert b"chunked" not in received.head, (case, received)


@when("callers ask for the head of a response of unknown length")
def step_head(context):
    cases = cut_callers.list_cases(("reply", "unknown length"), ("whole",))
    play(context, [case._replace(method="HEAD") for case in cases])


@then("no body follows the head")
def step_no_body(context):
    for case, received in context.received:
        assert received.head.startswith(b"http/1."), (case, received)
        assert not received.body, (case, received)


@when("the process of a server of the {path} is killed while it responds")
def step_killed(context, path):
    context.received = []
    for protocol in cut_callers.PROTOCOLS:
        case = cut_callers.Case(protocol, "unknown length", "none")
        server = cut_callers.ServerProcess(path=path)
        context.add_cleanup(server.stop)
        context.received.append((case, server.play(case)))
