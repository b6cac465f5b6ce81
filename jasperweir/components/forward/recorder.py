"""Log lines and metrics of forwarding decisions."""

import math

import logbook

from jasperweir import result_codes
from jasperweir.components.backpressure import backpressure as backpressure_lib
from jasperweir.components.backpressure import signals as signals_lib
from jasperweir.components.balance import budget as budget_lib
from jasperweir.components.directory import records
from jasperweir.components.discovery import version_basis
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.groups import directory as group_directory
from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.components.quarantine import suspects as suspects_lib
from jasperweir.components.registry import ops
from jasperweir.components.scheduling import demand as demand_lib
from jasperweir.components.warmup import warmup as warmup_lib
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib

_log = logs.logger("forward")
# Results of a probe that show a crash.
_CRASH_RESULTS = ("ended", "replaced")


class Recorder:
    """Records each forwarding decision with its inputs."""

    def __init__(self, *, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics

    def record_choice(
        self,
        exchange: exchange_lib.Exchange,
        target: records.Target,
        *,
        open_requests: int,
        unreported: int,
        free_slots: int,
        candidate_count: int,
        backoff_left_s: float,
        now: float,
        group: str = "",
    ) -> None:
        """Record the choice of a target.

        Args:
            exchange: The request.
            target: The chosen target.
            open_requests: Known open requests at the target.
            unreported: Those of them that no entry has reported.
            free_slots: Free slots at the candidate targets.
            candidate_count: Number of candidate targets.
            backoff_left_s: Time left of the back-off that the target requested,
                seconds.
            now: Monotonic seconds.
            group: Group of the target, empty if the service is one unit.
        """
        state = exchange.state
        labels = {"group": group} if group else {}
        _log.info(
            "target chosen",
            id=state.caller_headers.request_id,
            priority=state.match.priority,
            customer=state.customer_name,
            target=target.target_id,
            **labels,
            open=open_requests,
            unknown=unreported,
            free=free_slots,
            targets=candidate_count,
            rest_left_ms=round(backoff_left_s * 1000),
            waited_ms=round((now - state.arrived_at) * 1000),
            sends=state.attempts,
        )

    def record_wait(self, exchange: exchange_lib.Exchange, now: float) -> None:
        """Record that a request waits for a slot or for a target."""
        state = exchange.state
        self._metrics.inc(
            "waits",
            last_try=str(state.is_last_attempt).lower(),
            priority=str(demand_lib.find_band(state.match.priority)),
        )
        state.has_waited = True
        _log.info(
            "request waits",
            id=state.caller_headers.request_id,
            service=exchange.service,
            priority=state.match.priority,
            customer=state.customer_name,
            sends=state.attempts,
            used_ms=round((state.arrived_at - state.first_attempt_at) * 1000),
            foreseen_ms=round(state.expected_wait_s * 1000),
            until_ms=round((state.wait_deadline - now) * 1000),
        )

    def record_buffered(
        self, caller_headers: dialect_lib.CallerHeaders, wait_s: float
    ) -> None:
        """Record that a request waits for a configuration."""
        self._metrics.inc("kept_without_configuration")
        _log.info(
            "request kept without configuration",
            id=caller_headers.request_id,
            until_ms=round(wait_s * 1000),
        )

    def record_saturation(
        self,
        service: str,
        *,
        begins: bool,
        pass_s: float,
        streams: float,
        max_streams: float,
        group: str = "",
    ) -> None:
        """Record that the pass time starts or stops to block new streams.

        Args:
            service: Service whose engines make the passes.
            begins: Whether new streams are blocked from now on.
            pass_s: Smoothed time of a pass, seconds.
            streams: Open streams per target.
            max_streams: Maximum number of streams per target.
            group: Group of the engines, empty if the service is one unit.
        """
        if begins:
            self._metrics.inc(
                "passes_too_long", 1, **_unit_labels(service, group)
            )
        _log.info(
            "passes too long" if begins else "passes short again",
            **_unit_labels(service, group),
            pass_ms=round(pass_s * 1000),
            streams=round(streams, 2),
            limit=round(max_streams, 2) if math.isfinite(max_streams) else None,
        )

    def record_exceeded(self) -> None:
        """Count a response that exceeds a bound; the connection logs it."""
        self._metrics.inc("responses_over_bound")

    def record_pass(
        self, service: str, pass_s: float, streams: float, group: str = ""
    ) -> None:
        """Update the metrics of pass time and streams per target."""
        labels = _unit_labels(service, group)
        self._metrics.gauge("pass_seconds", pass_s, **labels)
        self._metrics.gauge("streams_per_target", streams, **labels)

    def record_clamped(self, count: int) -> None:
        """Update the metric of requests with a priority outside 0 to 9."""
        self._metrics.gauge("priorities_clamped", float(count))

    def record_order(
        self, service: str, *, applies: bool, peers: int, bands: int
    ) -> None:
        """Record that the order over all entries starts or stops to apply.

        Args:
            service: The service.
            applies: Whether it applies from now on, instead of the entry's own.
            peers: Other entries that were heard from recently.
            bands: Priorities that compete.
        """
        self._metrics.gauge("order_applies", float(applies), service=service)
        _log.info(
            "order over entries" if applies else "order of this entry",
            service=service,
            peers=peers,
            bands=bands,
        )

    def record_limit(
        self, service: str, group: str, max_streams: float
    ) -> None:
        """Update the metric of a group's limit; -1 without a limit."""
        if group:
            self._metrics.gauge(
                "streams_per_target_limit",
                max_streams if math.isfinite(max_streams) else -1.0,
                **_unit_labels(service, group),
            )

    def record_outage(
        self, service: str, *, begins: bool, group: str = ""
    ) -> None:
        """Record the start or end of an outage of a service or a group."""
        labels = _unit_labels(service, group)
        if begins:
            self._metrics.inc("outages", 1, **labels)
        if group:
            self._metrics.gauge("group_refuses", float(begins), **labels)
        _log.info(
            "targets refuse" if begins else "targets accept again", **labels
        )

    def record_group_probe(
        self, service: str, group: str, interval_s: float
    ) -> None:
        """Record that a request probes a group that is closed."""
        labels = _unit_labels(service, group)
        self._metrics.inc("group_probes", 1, **labels)
        _log.info("group probed", every_s=round(interval_s, 1), **labels)

    def record_group(self, change: group_directory.Change) -> None:
        """Record a group that is listed, opens, closes or has formed anew."""
        group = change.group
        labels = {"service": group.service, "group": group.name}
        self._metrics.gauge("group_open", float(group.is_open), **labels)
        self._metrics.gauge("group_epoch", float(group.epoch), **labels)
        _log.info(
            "group listed as open"
            if group.is_open
            else "group listed as closed",
            service=group.service,
            group=group.name,
            epoch=group.epoch,
            ranks=len(group.addresses),
            switching=group.is_switching,
            formed_anew=change.has_reformed,
        )

    def record_retry(
        self,
        exchange: exchange_lib.Exchange,
        decision: budget_lib.RetryDecision,
    ) -> None:
        """Record a retry that the budget allowed or denied."""
        self._metrics.inc("retries" if decision.allowed else "retries_denied")
        _log.info(
            "retry allowed" if decision.allowed else "retry denied",
            id=exchange.state.caller_headers.request_id,
            service=exchange.service,
            entries=decision.entries,
            requests=decision.first_attempts,
            retries=decision.retries,
            burst_left=round(decision.burst_left, 2),
        )

    def record_entry_count(self, before: int, count: int) -> None:
        """Record that another number of entries is known."""
        self._metrics.gauge("entries_known", float(count))
        _log.info("entries known", before=before, entries=count)

    def record_evacuations(
        self, before: frozenset[str], evacuations: ops.EvacuationList
    ) -> None:
        """Record a list of evacuated data centres when it comes into force."""
        self._metrics.gauge(
            "data_centres_evacuated", float(len(evacuations.places))
        )
        places = frozenset(evacuations.places)
        _log.info(
            "evacuations in force",
            revision=evacuations.revision,
            evacuated=list(evacuations.places),
            begun=sorted(places - before),
            ended=sorted(before - places),
        )

    def record_signals(
        self,
        target: records.Target,
        signals: signals_lib.Signals,
        changes: list[backpressure_lib.Change],
    ) -> None:
        """Record changed backpressure signals of a target."""
        for change in changes:
            self._metrics.inc("target_signals", signal=change.value)
            _log.info(
                f"target {change.value}",
                target=target.target_id,
                address=target.address,
                rest_s=signals.backoff_s,
                limit_per_s=signals.limit_per_s,
                unreadable=list(signals.unreadable),
            )

    def record_recovery(self, target: records.Target) -> None:
        """Record that a target accepts requests after a back-off."""
        _log.info(
            "target takes requests again",
            target=target.target_id,
            address=target.address,
        )

    def record_signal_counts(self, counts: dict[str, int]) -> None:
        """Update the metric of targets that send each signal."""
        for signal, count in counts.items():
            self._metrics.gauge("targets_asking", float(count), signal=signal)

    def record_cold_changes(
        self,
        changes: list[warmup_lib.Change],
        counts: dict[str, int],
        now: float,
    ) -> None:
        """Record the targets that have turned cold or warm.

        Args:
            changes: The changes.
            counts: Cold targets by service with a warm-up rate.
            now: Monotonic seconds.
        """
        for service, count in counts.items():
            self._metrics.gauge("targets_cold", float(count), service=service)
        for change in changes:
            target, cold = change.target, change.cold
            if cold is None:
                _log.info("target warm", target=target.target_id)
                continue
            left_s = cold.until - now
            _log.info(
                "target cold",
                target=target.target_id,
                reason=cold.reason.value,
                stated_ago_ms=round((now - cold.stated_at) * 1000),
                left_ms=round(left_s * 1000) if math.isfinite(left_s) else None,
                per_s=round(change.share.per_s, 2),
                burst=round(change.share.burst, 2),
                entries=change.entry_count,
            )

    def record_probe(self, case: suspects_lib.Case, result: str) -> None:
        """Record the probe of a target whose connections broke.

        Args:
            case: The target and its affected requests.
            result: Result of the probe.
        """
        self._metrics.inc("broken_targets", sign=result)
        has_crashed = result in _CRASH_RESULTS
        _log.log(
            logbook.WARNING if has_crashed else logbook.INFO,
            "target checked",
            target=case.target.target_id,
            address=case.target.address,
            sign=result,
            requests={
                found.label: broken.request_id
                for found, broken in case.suspects.items()
            },
            runs=[
                {
                    "id": broken.request_id,
                    "parts": [part.label for part in broken.parts],
                    "prompt_tokens": broken.prompt_tokens,
                    "ran_ms": round((broken.broke_at - broken.began_at) * 1000),
                    "events": broken.events,
                }
                for broken in case.suspects.values()
            ],
        )

    def record_quarantined(
        self, exchange: exchange_lib.Exchange, decision: quarantine_lib.Decision
    ) -> None:
        """Record the rejection of a quarantined request."""
        self._metrics.inc("held_back")
        _log.info(
            "request held back",
            id=exchange.state.caller_headers.request_id,
            standing=decision.standing.value,
            content=[found.label for found in decision.fingerprints],
            is_part=decision.is_for_part,
            ends=decision.crashes,
            held_s=round(decision.retry_after_s, 1),
            sends=exchange.state.attempts,
        )

    def record_trial(
        self, exchange: exchange_lib.Exchange, decision: quarantine_lib.Decision
    ) -> None:
        """Record a request that is sent to learn whether it crashes targets."""
        self._metrics.inc("trials")
        _log.info(
            "request on trial",
            id=exchange.state.caller_headers.request_id,
            content=[found.label for found in decision.fingerprints],
            is_part=decision.is_for_part,
        )

    def record_turned_away(
        self,
        caller_headers: dialect_lib.CallerHeaders | None,
        code: result_codes.Code,
        detail: str,
        basis: version_basis.VersionBasis,
    ) -> None:
        """Record a request that was rejected before admission."""
        self._metrics.inc("turned_away", code=code.name.lower())
        _log.info(
            "request turned away",
            id=caller_headers.request_id if caller_headers else "",
            code=code.name.lower(),
            **basis.log_fields(),
            detail=detail,
        )


def _unit_labels(service: str, group: str) -> dict[str, str]:
    """Return the labels of a group, or of a service that is one unit."""
    if not group:
        return {"service": service}
    return {"service": service, "group": group}
