"""State of one request on its way through the host."""

import dataclasses

from skylarksill.host import accountcredit, accounts, records


@dataclasses.dataclass(slots=True)
class Progress:
    """State of one request on its way through the host.

    Attributes:
      route: The records.Route.
      service_id: Service that the route's split chose.
      deadline_at: Monotonic time at which the request times out.
      fingerprint: Identifies copies of the request; see ``poison``.
      identity: The accounts.Unrestricted, Identified or Anonymous that the request belongs to.
      identified_by: The accounts.AccountTable that has identified it.
      permit: The accountcredit.Permit of an account with a quota that no send has used, or None.
      attempts: Number of sends that may have run.
      rejected_sends: Number of sends that upstreams rejected without running them.
      excluded: Ids of upstreams that are not tried again.
      trace: One dict for each send, for the log.
      last_answer: The latest answer of an upstream, or None.
    """

    route: records.Route
    service_id: str
    deadline_at: float
    fingerprint: bytes
    identity: accounts.Unrestricted | accounts.Identified | accounts.Anonymous
    identified_by: accounts.AccountTable
    permit: accountcredit.Permit | None = None
    attempts: int = 0
    rejected_sends: int = 0
    excluded: set = dataclasses.field(default_factory=set)
    trace: list = dataclasses.field(default_factory=list)
    last_answer: records.Answer | None = None
