"""Between the messages of `peer.proto` and the dataclasses of `peering`.

What comes from another process is checked here, once: sizes, signs, known
words. One wrong field refuses the whole message, so that nothing half
understood reaches the decisions.
"""

from collections.abc import Callable
import dataclasses
import enum
import functools
import math
import re
import types
import typing
from typing import Any, TypeVar

from google.protobuf import message as message_lib

from cardamommill import exceptions, fleet, peer_pb2, peering, store

T = TypeVar("T")

MAX_ITEMS = 4096
MAX_TEXT = 512
MAX_INTEGER = 1 << 62
STEP = "peer-message"

# Texts that are bounded by the whole message's size alone.
_LONG_TEXTS = frozenset({"row"})
_ADDRESS = re.compile(r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}", re.ASCII)

_MESSAGES: dict[Any, Callable[[], Any]] = {
    peering.PullRequest: peer_pb2.PullRequest,
    peering.Digest: peer_pb2.Digest,
    peering.Notice: peer_pb2.Notice,
}

_Decode = Callable[[Any], Any]
_Encode = Callable[[Any, str, Any], None]


def encode(
        value: peering.PullRequest | peering.Digest | peering.Notice) -> bytes:
    """Returns the bytes of a message."""
    message = _MESSAGES[value.__class__]()
    _fill(message, value)
    data: bytes = message.SerializeToString()
    return data


def decode(data: bytes, into: type[T], peer: str) -> T:
    """Returns the value that another process sent.

    Args:
        data: What came.
        into: What it must be: `peering.PullRequest`, `Digest` or `Notice`.
        peer: Who sent it, for the error.

    Raises:
        BadPeerMessage: It is malformed, of another version or out of bounds.
    """
    message = _MESSAGES[into]()
    try:
        message.ParseFromString(data)
    except message_lib.DecodeError as error:
        raise _bad(f"not a {into.__name__}: {error}", peer) from error
    # Looked at before the rest, which another version may well have changed.
    version = getattr(message, "version", peering.PROTOCOL_VERSION)
    if version != peering.PROTOCOL_VERSION:
        raise _bad(
            f"protocol version {version}; this node speaks "
            f"{peering.PROTOCOL_VERSION}", peer)
    try:
        value: T = _read(message, into)
    except (ValueError, TypeError, OverflowError) as error:
        raise _bad(f"{into.__name__}: {error}"[:300], peer) from error
    return value


def _bad(text: str, peer: str) -> exceptions.BadPeerMessage:
    return exceptions.BadPeerMessage(text, step=STEP, peer=peer)


# --- Reading ---


def _read(message: Any, into: Any) -> Any:
    value = into(*[
        decode_field(getattr(message, name))
        for name, decode_field in _reading_plan(into)
    ])
    check = _CHECKS.get(into)
    if check:
        check(value)
    return value


@functools.cache
def _reading_plan(into: Any) -> tuple[tuple[str, _Decode], ...]:
    hints = typing.get_type_hints(into, vars(peering))
    return tuple((field.name, _reader(field.name, hints[field.name]))
                 for field in dataclasses.fields(into))


def _reader(name: str, hint: Any) -> _Decode:
    if hint is fleet.ReplicaRow:
        return lambda text: store.decode(fleet.ReplicaRow, text)
    if dataclasses.is_dataclass(hint):
        return lambda item: _read(item, hint)
    if typing.get_origin(hint) is tuple:
        return _items_reader(name, typing.get_args(hint)[0])
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    if hint is str:
        return _long_text if name in _LONG_TEXTS else _text
    return _SCALARS[hint]


def _items_reader(name: str, item: Any) -> _Decode:
    read_item = _reader(name, item)

    def read(items: Any) -> Any:
        if len(items) > MAX_ITEMS:
            raise ValueError(f"{name}: more than {MAX_ITEMS} items")
        return tuple(read_item(each) for each in items)

    return read


def _text(value: str) -> str:
    if len(value) > MAX_TEXT:
        raise ValueError(f"a text of {len(value)} characters")
    return value


def _long_text(value: str) -> str:
    return value


def _count(value: int) -> int:
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"the number {value}")
    return value


def _rate(value: float) -> float:
    # Not-a-number compares false with everything and so would slip through
    # each later bound.
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"the rate {value}")
    return value


_SCALARS: types.MappingProxyType[Any, _Decode] = types.MappingProxyType({
    int: _count,
    float: _rate,
    bool: bool,
})


def _check_identity(identity: fleet.NodeIdentity) -> None:
    if not identity.node_id or not identity.data_centre:
        raise ValueError("a node without name or data centre")
    for address in (identity.peer_address, identity.caller_address):
        if not _ADDRESS.fullmatch(address):
            raise ValueError(f"the address {address[:40]!r}")


def _check_report(report: fleet.RunnerReport) -> None:
    if not report.vm_id:
        raise ValueError("a report without VM")


_BOUNDS: dict[Any, _Decode] = {str: _text, int: _count, float: _rate}


def takes(report: fleet.RunnerReport) -> bool:
    """Tells whether peers would take a runner's report.

    They refuse a digest whole for one bad number. A faulty runner whose
    report was passed on would so take the evidence on all others from them.

    Args:
        report: What a runner said.
    """
    try:
        _check_report(report)
        for field in dataclasses.fields(report):
            value = getattr(report, field.name)
            _BOUNDS.get(type(value), bool)(value)
    except ValueError:
        return False
    return True


_CHECKS: dict[Any, Callable[[Any], None]] = {
    fleet.NodeIdentity: _check_identity,
    fleet.RunnerReport: _check_report,
}

# --- Writing ---


def _fill(message: Any, value: Any) -> None:
    for name, write in _writing_plan(value.__class__):
        item = getattr(value, name)
        # What is empty or zero is what the reader takes an absent field for.
        if item:
            write(message, name, item)


@functools.cache
def _writing_plan(kind: Any) -> tuple[tuple[str, _Encode], ...]:
    hints = typing.get_type_hints(kind, vars(peering))
    return tuple((field.name, _writer(hints[field.name]))
                 for field in dataclasses.fields(kind))


def _writer(hint: Any) -> _Encode:
    if hint is fleet.ReplicaRow:
        return _write_row
    if dataclasses.is_dataclass(hint):
        return _write_message
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return (_write_messages
                if dataclasses.is_dataclass(item) else _write_scalars)
    return setattr


def _write_row(message: Any, name: str, row: fleet.ReplicaRow) -> None:
    setattr(message, name, store.encode(row))


def _write_message(message: Any, name: str, value: Any) -> None:
    _fill(getattr(message, name), value)


def _write_messages(message: Any, name: str, values: Any) -> None:
    items = getattr(message, name)
    for value in values:
        _fill(items.add(), value)


def _write_scalars(message: Any, name: str, values: Any) -> None:
    getattr(message, name).extend(values)
