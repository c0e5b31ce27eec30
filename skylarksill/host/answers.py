"""Answers that a host generates itself, and the encoding of all answers to clients."""

import http

from skylarksill.host import _upstreamhttp, records

# A client whose request was refused for lack of room may send it to another host at once.
REFUSED_RETRY_AFTER_S = 0.02
# What each answer begins with, whatever follows.
ANSWER_START = b"HTTP/1.1 "
_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def make_answer(status, body, headers=(), content_type=b"text/plain"):
    """Returns an Answer that the host generates itself."""
    return records.Answer(status, b"", ((b"content-type", content_type), *headers), body)


def make_refusal(body=b""):
    """Returns an Answer which says that a request was not run and may be sent again at once."""
    return make_answer(503, body, ((b"retry-after", b"%.3f" % REFUSED_RETRY_AFTER_S),))


def format_answer(answer, method):
    """Encodes an answer as an HTTP/1.1 message.

    Args:
      answer: The records.Answer.
      method: Method of the request.
    Returns:
      The bytes of the message.
    """
    reason = answer.reason or _REASONS.get(answer.status, b"Status")
    lines = [ANSWER_START + b"%d " % answer.status + reason]
    lines += [name + b": " + value for name, value in answer.headers]
    is_bodiless = _upstreamhttp.is_bodiless(method, answer.status)
    if not is_bodiless:
        lines.append(b"content-length: %d" % len(answer.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if is_bodiless else answer.body)


def mark_last(message):
    """Returns an encoded answer that says that the connection is closed after it."""
    end = message.index(b"\r\n\r\n")
    return message[:end] + b"\r\nconnection: close" + message[end:]
