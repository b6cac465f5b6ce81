"""Steps on requests under which targets end."""

import json
import time

from behave import given
from behave import then
from behave import when

from features.harness import platform as platform_lib
from features.harness import respawn
from features.steps import platform_steps

BACK_SECONDS = 1.5
# Between two tries of a request that ends targets.
AGAIN_SECONDS = 0.8
BODY = b"x ends what runs it"


@given(
    "three VMs with control and entry, and six targets that end under {text}"
)
def step_start(context, text):
    plat = platform_lib.Platform(context.folder)
    context.local = plat
    context.plat = plat
    plat.start_all()
    context.targets = respawn.Respawner(
        plat, range(1, 7), ends_on=text.strip('"'), back_s=BACK_SECONDS
    )
    context.add_cleanup(context.targets.stop)
    context.document = platform_lib.document(7)
    plat.wait(
        "the configuration",
        lambda: plat.replace(1, context.document) == 200,
    )
    platform_steps.settle(plat)


@when("a {kind} request that ends targets comes {count:d} times, in turn")
def step_comes(context, kind, count):
    context.answers = []
    for number in range(count):
        entry = platform_steps.VMS[number % 3]
        path = f"/{kind}/x"
        try:
            answer = context.plat.request(entry, path, f"try-{number}", BODY)
        except OSError as exc:
            # Its answer was broken off.
            answer = (0, {}, str(exc).encode())
        context.answers.append(answer)
        time.sleep(AGAIN_SECONDS)


@then("it has ended no more than {count:d} targets")
def step_few(context, count):
    ended = context.targets.bodies()
    assert set(ended) <= {BODY}, ended
    answers = [(a[0], a[1].get("jasperweir-code")) for a in context.answers]
    assert len(ended) <= count, (len(ended), answers)


@then("other requests are answered whole through every entry")
def step_others(context):
    time.sleep(BACK_SECONDS)
    for number in platform_steps.VMS:
        status, _, body = context.plat.request(
            number, "/safe/y", f"other-{number}", b"well"
        )
        assert (status, body) == (200, b"ran well"), (status, body)


@then("the log of the entries names one content for each target that ended")
def step_named(context):
    ended = len(context.targets.bodies())
    lines = []
    for path in context.plat.folder.glob("entry-*.log"):
        for line in path.read_text().splitlines():
            if '"target checked"' in line:
                lines.append(json.loads(line))
    assert 0 < len(lines) == ended, (ended, lines)
    assert {line["sign"] for line in lines} == {"ended"}, lines
    contents = {label for line in lines for label in line["requests"]}
    assert len(contents) == 1, contents
