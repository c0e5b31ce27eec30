"""Runs a ticketed request at most once, with the ticket tables of the library.

The home dispatcher asks the arbiter before it runs the ticket. A copy of the request that arrives
later gets the answer of the first run.
"""

from skylarksill import records, tickets

SHARED_KEY = b"a shared key of at least 16 bytes"
NOW_UNIX_MS = 1_800_000_000_000


def main():
    """Prints what happens to a request, its copy, and a ticket that was revoked first."""
    home = tickets.HomeTable("host-1", "incarnation-1")
    arbiter = tickets.ArbiterTable("host-2", "incarnation-7")
    ticket = read_ticket(make_ticket_text("order-1"))
    print(
        "first:", [type(action).__name__ for action in home.open(ticket, "request-1", NOW_UNIX_MS)]
    )
    claim = arbiter.claim(ticket, NOW_UNIX_MS)
    print("claim:", claim.state.value)
    home.apply_claim(ticket.ticket_id, claim, NOW_UNIX_MS)
    answer = records.Answer(200, (), b"order accepted")
    home.complete(ticket.ticket_id, answer, NOW_UNIX_MS + 50)
    (copy,) = home.open(ticket, "request-2", NOW_UNIX_MS + 90)
    print("copy:", copy.answer.body.decode())
    revoked = read_ticket(make_ticket_text("order-2"))
    arbiter.revoke(revoked, NOW_UNIX_MS)
    print("claim after revocation:", arbiter.claim(revoked, NOW_UNIX_MS).state.value)


def make_ticket_text(ticket_id):
    """Returns the signed text of a ticket, as a look-up hands it out."""
    home = ("host-1", "incarnation-1")
    arbiter = ("host-2", "incarnation-7")
    ticket = tickets.new_ticket(ticket_id, "deposits", home, arbiter, NOW_UNIX_MS)
    return tickets.sign_ticket(SHARED_KEY, ticket)


def read_ticket(text):
    """Returns the ticket of a signed text.

    Raises:
      ValueError: If the text is not a valid ticket.
    """
    ticket, problem = tickets.verify_ticket(SHARED_KEY, text)
    if problem:
        raise ValueError(str(problem))
    return ticket


if __name__ == "__main__":
    main()
