"""Tickets, which make non-idempotent requests run at most once.

A ticket's home dispatcher keeps a ``HomeTable``, its arbiter in another zone an ``ArbiterTable``.
"""

from skylarksill import _arbitertable, _hometable, _ticketcodec, _ticketstore

TICKET_LIFETIME_MS = _ticketcodec.TICKET_LIFETIME_MS
RECORD_GRACE_MS = _ticketstore.RECORD_GRACE_MS
ANSWER_KEPT_MS = _ticketstore.ANSWER_KEPT_MS
MAX_COPIED_BYTES = _hometable.MAX_COPIED_BYTES

new_ticket = _ticketcodec.new_ticket
mint_ticket = _ticketcodec.mint_ticket
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
