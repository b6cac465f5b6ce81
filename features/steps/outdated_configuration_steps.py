"""Steps on entries whose configuration may be outdated."""

import contextlib
import pathlib
from unittest import mock
import zlib

from behave import given
from behave import then
from behave import when
import logbook

from features.harness import control_process
from features.harness import site as site_lib
from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.deployment import model
from jasperweir.components.discovery import client as discovery_client
from jasperweir.daemons import site_entry


@when(
    'version {version:d} is committed while "{one}" and "{other}" are down,'
    " one after the other"
)
def step_commit_with_lag(context, version, one, other):
    """Commit a version that one control VM of three lacks."""
    site = context.site
    site.kill(other)
    site.run(2.0)
    site.replace(site.leader(), version)
    site.run(1.5)
    assert site.acked[0] == version
    context.behind = other


@when(
    "only the control VMs that lack version {version:d} run, and a new entry"
    " starts"
)
def step_only_outdated(context, version):
    site = context.site
    for name in list(site.nodes):
        site.kill(name)
    site.start(context.behind)
    assert site.nodes[context.behind].machine.declared().version < version
    site.start_entry("e9")


@then("the new entry lets no request through")
def step_lets_nothing_through(context):
    assert context.site.serves("e9") == 0, context.site.versions["e9"]


@when("an entry fails to apply version {version:d}")
def step_fail_to_apply(context, version):
    site = context.site
    context.client = site.discovery_clients["e1"]
    source = site.leader()
    acts = context.client.receive(
        source, config_messages.VersionNotice(version=version), site.now
    )
    content = config_messages.Content(version=version, data=b"unreadable")
    acts += context.client.receive(source, content, site.now)
    applied = [
        act
        for act in acts
        if isinstance(act, discovery_client.ApplyConfiguration)
    ]
    assert len(applied) == 1


@then("it still holds version {held:d} and requests version {version:d} again")
def step_requests_again(context, held, version):
    client, now = context.client, context.site.now
    assert client.version == held, client.version
    asked = []
    for step in range(20):
        asked += client.tick(now + step * site_lib.STEP)
    assert any(
        isinstance(act.msg, config_messages.ContentRequest) for act in asked
    )


@when(
    "versions {first:d} to {last:d} are committed, one every {gap_s:g} seconds"
)
def step_close_versions(context, first, last, gap_s):
    site = context.site
    context.late = []
    for version in range(first, last + 1):
        site.replace("c1", version)
        acked_at = None
        for _ in range(40):
            site.run(site_lib.STEP)
            if acked_at is None and site.acked[0] >= version:
                acked_at = site.now
            if acked_at is not None and site.now >= acked_at + gap_s:
                break
        behind = {n: v for n, v in site.versions.items() if v < version}
        context.late += [(version, behind)] if behind else []


@then(
    "each is in force at every entry {within_s:g} s after its acknowledgement"
)
def step_soon_in_force(context, within_s):
    assert not context.late, context.late


class EntryDialect:
    """Decodes the number of a version as a configuration without routes."""

    def deployment(self, raw):
        return model.Deployment(
            version=int(raw),
            routes=(),
            services=(),
            limits=model.Limits(16384, 65536, 3.0, 15.0),
            customers=(),
        )


def apply_version(entry, version):
    data = zlib.compress(str(version).encode())
    with logbook.NullHandler().applicationbound():
        entry._apply_configuration(
            discovery_client.ApplyConfiguration(version=version, data=data)
        )


@given("an entry's process with version {version:d} in force")
def step_entry_process(context, version):
    cfg = control_process.make_settings(pathlib.Path("unused"))
    with control_process.quiet_logs():
        context.entry = site_entry.SiteEntry(
            cfg=cfg, dialect=EntryDialect(), engines=None
        )
    apply_version(context.entry, version)


@when("{part} fails while version {version:d} is applied")
def step_part_fails(context, part, version):
    forwarder = context.entry._forwarder
    owner, name = {
        "the limit of cold ones": (forwarder.targets.warmup, "on_services"),
        "the bound on passes": (forwarder.pass_monitor.limits, "on_bounds"),
    }[part]
    failing = mock.patch.object(owner, name, side_effect=KeyError("x"))
    with failing, contextlib.suppress(KeyError):
        apply_version(context.entry, version)


@when("version {version:d} is applied again")
def step_apply_again(context, version):
    apply_version(context.entry, version)


@then("the entry still holds version {version:d} and decides by it")
@then("the entry holds version {version:d} and decides by it")
def step_holds(context, version):
    entry = context.entry
    assert entry._discovery.version == version, entry._discovery.version
    assert entry._forwarder.index.deployment.version == version
