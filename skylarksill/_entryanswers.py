"""HTTP answers of the entry host to clients."""

import dataclasses

from skylarksill import _entryrequests, _httpserver, records

VERDICT_HEADER = "Skylarksill-Verdict"
REQUEST_ID_HEADER = "Skylarksill-Request-Id"

_STATUSES_BY_VERDICT = {
    records.Verdict.RAN: 502,
    records.Verdict.NOT_RUN: 503,
    records.Verdict.MAY_HAVE_RUN: 504,
}
_STATUSES_BY_REASON = {"blocked_request": 422, "deadline_passed": 504}


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status, headers and body of an answer to the client."""

    status: int
    headers: list
    body: bytes


def format_answer(answer, request_id, method):
    """Returns the HttpAnswer for an upstream's Answer."""
    headers = _entryrequests.filter_answer_headers(answer.headers, method)
    headers += [(VERDICT_HEADER, records.Verdict.RAN.value), (REQUEST_ID_HEADER, request_id)]
    return HttpAnswer(answer.status, headers, answer.body)


def choose_status(refusal):
    """Returns the HTTP status for a Refusal that resulted from forwarding."""
    if refusal.verdict is records.Verdict.RAN:
        return _STATUSES_BY_VERDICT[refusal.verdict]
    return _STATUSES_BY_REASON.get(refusal.reason, _STATUSES_BY_VERDICT[refusal.verdict])


def format_refusal(status, refusal, request_id, ticket_text=None):
    """Returns the HttpAnswer for a Refusal, with the text of a new ticket or None."""
    headers = [
        ("Content-Type", "application/json"),
        (VERDICT_HEADER, refusal.verdict.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if refusal.retry_after_ms is not None:
        headers.append(("Retry-After", str(-(-refusal.retry_after_ms // 1000))))
    return HttpAnswer(status, headers, _httpserver.format_refusal(refusal, ticket_text))
