"""Conversion of expert maps between wire form and arrays."""

import numpy as np
import numpy.typing as npt

from jasperweir.components.experts import const
from jasperweir.components.experts import messages
from jasperweir.components.experts import placement

SPLIT_UNITS = 255


def pack(layers: tuple[placement.Layer, ...], version: int) -> messages.Map:
    """Return the wire form of a placement."""
    slots = np.stack([layer.slots for layer in layers])
    split = np.stack([layer.split for layer in layers])
    units = np.clip(np.rint(split * SPLIT_UNITS), 0, SPLIT_UNITS)
    shape = tuple(int(n) for n in slots.shape)
    return messages.Map(
        version=version,
        shape=(shape[0], shape[1], shape[2]),
        slots=slots.astype("<u2").tobytes(),
        split=units.astype(np.uint8).tobytes(),
    )


def unpack(packed: messages.Map, experts: int) -> tuple[placement.Layer, ...]:
    """Return the placement of a wire form, with normalized splits."""
    slots = np.frombuffer(packed.slots, dtype="<u2").reshape(packed.shape)
    units = np.frombuffer(packed.split, dtype=np.uint8).reshape(packed.shape)
    layers = []
    for layer_slots, layer_units in zip(slots, units, strict=True):
        table = layer_slots.astype(np.int64)
        split = _normalize_split(table, layer_units.astype(np.float64), experts)
        layers.append(placement.Layer(table, split))
    return tuple(layers)


def count_loads(
    old: messages.Map | None, new: messages.Map, ranks: range
) -> int:
    """Return how many experts a range of ranks must load for a new map."""
    slots = np.frombuffer(new.slots, dtype="<u2").reshape(new.shape)
    new_slots = slots[:, ranks.start : ranks.stop]
    if old is None or old.shape != new.shape:
        return int(new_slots.size)
    before = np.frombuffer(old.slots, dtype="<u2").reshape(old.shape)
    old_slots = before[:, ranks.start : ranks.stop]
    return int((new_slots != old_slots).sum())


def next_version(term: int, last: int) -> int:
    """Return the next map version of a term."""
    return max(last, term << const.VERSION_BITS) + 1


def _normalize_split(
    slots: placement.Ints,
    units: npt.NDArray[np.float64],
    experts: int,
) -> placement.Floats:
    units = np.maximum(units, 1e-3)
    total = np.bincount(slots.ravel(), weights=units.ravel(), minlength=experts)
    split: placement.Floats = units / total[slots]
    return split
