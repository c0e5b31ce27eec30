"""Text form of tickets: base64url of a msgpack list and its HMAC-SHA-256."""

import base64
import binascii
import hmac

from skylarksill import frames, messages, records

TICKET_LIFETIME_MS = 60_000
MAX_TICKET_CHARACTERS = 1_024
MAC_BYTES = 32

_MAC_PURPOSE = b"skylarksill ticket 1"


def new_ticket(ticket_id, service_id, home, arbiter, now_unix_ms, lifetime_ms=TICKET_LIFETIME_MS):
    """Makes a ticket.

    Args:
      ticket_id: Unique id, drawn by the caller from a secure random source.
      service_id: The service that the ticket is valid for.
      home: Pair of host id and dispatcher incarnation that may run the ticket.
      arbiter: Pair of host id and dispatcher incarnation in another zone, or None.
      now_unix_ms: Wall-clock time in milliseconds.
      lifetime_ms: Time until expiry in milliseconds.
    Returns:
      A Ticket.
    """
    arbiter_host, arbiter_incarnation = arbiter or (None, None)
    return records.Ticket(
        records.TicketId(ticket_id),
        service_id,
        home[0],
        home[1],
        arbiter_host,
        arbiter_incarnation,
        int(now_unix_ms) + lifetime_ms,
    )


def mint_ticket(shared_key, ticket):
    """Signs a ticket and returns it as URL-safe text.

    Args:
      shared_key: The deployment's shared key, as bytes.
      ticket: The Ticket.
    Returns:
      Text of letters, digits, '-' and '_'.
    """
    payload = frames.pack_payload(messages.encode_message(ticket))
    data = _sign(shared_key, payload) + payload
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def verify_ticket(shared_key, text):
    """Reads a ticket and checks its signature; expiry is left to the tables.

    Args:
      shared_key: The deployment's shared key, as bytes.
      text: The text that a client sent.
    Returns:
      A pair of the Ticket, or None if it is refused, and a Problem, or None if it is valid.
    """
    data = _decode_text(text)
    if data is None:
        return None, records.Problem("ticket", "text", "is not a ticket")
    mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, _sign(shared_key, payload)):
        return None, records.Problem("ticket", "signature", "does not match")
    try:
        ticket = messages.decode_message(records.Ticket, frames.unpack_payload(payload))
    except frames.FrameError as error:
        return None, records.Problem("ticket", "fields", str(error))
    return ticket, _check_arbiter(ticket)


def _check_arbiter(ticket):
    if (ticket.arbiter is None) == (ticket.arbiter_incarnation is None):
        return None
    return records.Problem("ticket", "arbiter", "host and incarnation must both be present")


def _decode_text(text):
    if not text or len(text) > MAX_TICKET_CHARACTERS:
        return None
    try:
        raw = text.encode("ascii")
        data = base64.b64decode(raw + b"=" * (-len(raw) % 4), altchars=b"-_", validate=True)
    except (UnicodeEncodeError, binascii.Error):
        return None
    return data if len(data) > MAC_BYTES else None


def _sign(shared_key, payload):
    return hmac.digest(shared_key, _MAC_PURPOSE + payload, "sha256")


def measure_kept_answer(answer):
    """Returns the bytes that an Answer takes when it is kept."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers
