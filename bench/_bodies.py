"""Messages of the fake deployment that have no record in ``skylarksill.messages``."""

import dataclasses

from skylarksill import messages, records


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What a client wants done; it must be done at most once if the service requires it."""

    order_id: str
    service: records.ServiceId
    client: str
    home_region: str
    path: str = "/orders"
    deadline_ms: int = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCall:
    """A client's HTTP request to an entry process."""

    order: Order
    ticket: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunCall:
    """A dispatcher's HTTP request to an upstream with its absolute deadline."""

    request: records.Request
    deadline_unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunAnswer:
    """An upstream's answer, with or without its drain header."""

    answer: records.Answer
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RunRefused:
    """An upstream's answer with the header Skylarksill-Not-Run."""

    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """What one host tells the others, directly instead of through agents."""

    host: records.HostId
    incarnation: records.Incarnation
    generation: records.Generation
    loads: tuple[messages.LoadEntry, ...]
    suspects: tuple[messages.SuspectEntry, ...]
    configuration: records.Configuration


def make_answer(order_id):
    """Returns the answer that an upstream gives to an order, and to no other."""
    return records.Answer(200, (("Content-Type", "text/plain"),), f"done {order_id}".encode())
