"""Tickets, which make non-idempotent requests run at most once.

A ticket names its home, the dispatcher that may run its request, and an arbiter, a dispatcher in
another zone that grants or revokes the right to run it. The home keeps a ``HomeTable``, the arbiter
an ``ArbiterTable``.
"""

from skylarksill import _arbitertable, _hometable, _ticketcodec, _ticketstore

TICKET_LIFETIME_MS = _ticketcodec.TICKET_LIFETIME_MS
RECORD_RETENTION_MS = _ticketstore.RECORD_RETENTION_MS
ANSWER_RETENTION_MS = _ticketstore.ANSWER_RETENTION_MS
MAX_COPIED_ANSWER_BYTES = _hometable.MAX_COPIED_ANSWER_BYTES

new_ticket = _ticketcodec.new_ticket
sign_ticket = _ticketcodec.sign_ticket
verify_ticket = _ticketcodec.verify_ticket

TableLimits = _ticketstore.TableLimits
HomeState = _hometable.HomeState
HomeTable = _hometable.HomeTable
Claim = _hometable.Claim
Run = _hometable.Run
Wait = _hometable.Wait
Reply = _hometable.Reply
Refuse = _hometable.Refuse
CopyOutcome = _hometable.CopyOutcome
ArbiterTable = _arbitertable.ArbiterTable
