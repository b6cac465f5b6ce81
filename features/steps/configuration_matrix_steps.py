"""Steps on configurations that change while processes are in trouble."""

import statistics

from behave import given
from behave import then
from behave import when

from features.harness import configuration_matrix as matrix
from features.harness import site as site_lib
from jasperweir.components.configctl import leader_requests as requests_lib

ENTRIES = {
    "ran on": "ran on",
    "is started alone": "started alone",
    "is started with its data centre": "started with its data centre",
    "is started with all": "started with all",
    "is on a new VM": "new VM",
    "is on a reused address": "reused address",
    "is suspended and awakes": "suspended and awake",
    "is deaf to the leader": "deaf to the leader",
    "is deaf to one control VM": "deaf to one control VM",
    "is deaf to all but one control VM": "deaf to all but one control VM",
    "has a slow link": "slow link",
    "gets late answers": "late answers",
}


@when(
    "version 12 is acknowledged while an entry {entry}, for each state of the"
    " control VMs"
)
def step_matrix(context, entry):
    assert set(ENTRIES.values()) == set(matrix.ENTRY_CASES)
    context.violations = []
    seed = 0
    for core in matrix.CORE_CASES:
        for wait_s in matrix.WAITS_SECONDS:
            seed += 1
            case = matrix.Case(
                entry=ENTRIES[entry], core=core, seed=seed, wait_s=wait_s
            )
            context.violations += [(core, wait_s, what) for what in case.run()]


@when("{cases:d} cases drawn with seed {seed:d} are run at {entries:d} entries")
def step_drawn_cases(context, cases, seed, entries):
    found = matrix.run_drawn(cases=cases, seed=seed, entries=entries)
    context.violations = list(found)


@then("no entry has broken the rule")
def step_no_violation(context):
    assert not context.violations, context.violations[:5]


@given("a site of {count:d} entries in three data centres")
def step_site(context, count):
    places = {f"c{n}": "pqr"[n - 1] for n in (1, 2, 3)}
    places.update({f"e{n}": "pqr"[n % 3] for n in range(1, count + 1)})
    context.site = site_lib.Site(entries=count, places=places)
    context.site.run(5.0)
    context.judge = matrix.Judge(context.site)


@when("{count:d} versions are acknowledged one after the other")
def step_versions(context, count):
    site = context.site
    context.versions = range(2, count + 2)
    for version in context.versions:
        name = site.rng.choice(sorted(site.nodes))
        site.replace(name, version)
        site.run(2.0 + site.rng.uniform(0.0, 0.5))
        assert site.acked[0] == version


@then(
    "each is in force everywhere within {worst:g} s, and within {median:g} s at"
    " the median"
)
def step_delays(context, worst, median):
    delays = context.judge.delays
    worst_delays = [
        max(delays[name, version] for name in context.site.discovery_clients)
        for version in context.versions
    ]
    assert max(worst_delays) < worst, worst_delays
    assert statistics.median(worst_delays) <= median, worst_delays
    assert not context.judge.violations, context.judge.violations


@then("entries that start anew are ready within {seconds:g} s")
def step_ready(context, seconds):
    site = context.site
    names = list(site.discovery_clients)
    for name in names:
        site.start_entry(name)
    site.run(seconds)
    late = [name for name in names if site.serves(name) != site.acked[0]]
    assert not late, late


@when("two operators send different content of version {version:d} at once")
def step_two_operators(context, version):
    site = context.site
    site.contents[version] = context.content = site_lib.OneContent()
    site.replace("c1", version, b"the content of one operator")
    site.replace("c2", version, b"the content of another operator")
    site.run(3.0)


@then("all entries and reads have the same content of version {version:d}")
def step_same_content(context, version):
    site = context.site
    assert all(v == version for v in site.versions.values()), site.versions
    reads = [site.describe(name) for name in site.nodes]
    site.run(1.0)
    for read in reads:
        found = site.results.get(read)
        assert isinstance(found, requests_lib.Described), found
        assert found.declared.data == context.content


@when("version 20 is sent, then version 21, then version 20 again")
def step_again(context):
    site = context.site
    context.requests = []
    for version in (20, 21, 20):
        context.requests.append(site.replace("c2", version))
        site.run(1.5)


@then("all orders are acknowledged and all entries have version {version:d}")
def step_all_acknowledged(context, version):
    site = context.site
    for request in context.requests:
        assert isinstance(site.results.get(request), requests_lib.Replaced)
    assert all(v == version for v in site.versions.values()), site.versions
