"""Appointment of the agent that coordinates each expert group."""

from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.membership import roster as roster_lib
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as state_machine_lib

Status = member_messages.Status


def next_appointment(
    machine: state_machine_lib.StateMachine, roster: roster_lib.Roster
) -> ops.Appoint | None:
    """Return the next appointment that is due, or None.

    A coordinator is replaced when it is dead, gone, leaving or restarted.
    Safety doesn't depend on this, because grants are fenced by term.
    """
    groups: dict[str, list[member_messages.Member]] = {}
    for member in roster.members(member_const.KIND_AGENT):
        if member.group and member.status <= Status.ALIVE:
            groups.setdefault(member.group, []).append(member)
    for group, members in sorted(groups.items()):
        current = machine.appointment(group)
        if current is not None and _is_valid(current, roster):
            continue
        chosen = min(members, key=lambda m: m.name)
        return ops.Appoint(
            group=group,
            coordinator=chosen.name,
            incarnation=chosen.inc,
            term=(current.term if current else 0) + 1,
        )
    return None


def _is_valid(current: ops.Appointment, roster: roster_lib.Roster) -> bool:
    member = roster.get(current.coordinator)
    if member is None or member.inc != current.incarnation:
        return False
    return member.status in (Status.JOINING, Status.ALIVE, Status.SUSPECT)
