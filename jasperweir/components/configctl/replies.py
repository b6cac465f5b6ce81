"""Replies of a leader to the processes that wait for an operation."""

from jasperweir.components.configctl import evacuations as evacuations_lib
from jasperweir.components.configctl import messages
from jasperweir.components.registry import ops
from jasperweir.helpers import hashing


def make_reply(
    op_id: str, number: int, answer: ops.Answer, held: ops.Declared
) -> messages.EvacuateReply | messages.ReplaceReply:
    """Return the reply to the process that waits for a committed operation.

    Args:
        op_id: Id of the operation.
        number: Number of the request.
        answer: Answer to the operation.
        held: Configuration after the operation.
    """
    if evacuations_lib.is_order(op_id):
        return messages.EvacuateReply(
            number=number, code=answer.code, orders=answer.version
        )
    return make_replace_reply(number, held)


def make_replace_reply(
    number: int, held: ops.Declared
) -> messages.ReplaceReply:
    """Return the reply that a configuration or a higher one is committed.

    Args:
        number: Number of the request.
        held: Newest committed configuration.
    """
    return messages.ReplaceReply(
        number=number,
        version=held.version,
        content=hashing.checksum(held.data),
    )
