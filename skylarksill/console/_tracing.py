"""Command that collects the log lines about one request from the hosts' structured logs."""

import json

from cleo import helpers

from skylarksill.console import _command

# Lines of the same host that are this close before or after a request may explain its outcome.
CONTEXT_WINDOW_S = 2.0
_CONTEXT_EVENTS = ("store.", "belief.", "upstream.", "host.", "log.", "client.ends")


class TraceCommand(_command.ConsoleCommand):
    """Shows a request, its sends, the end of its connection and its host's changes around it."""

    name = "trace"
    description = "Explains a request from the structured logs of the hosts."
    arguments = [
        helpers.argument("request", "Id of the request."),
        helpers.argument("logs", "Log files of the hosts.", multiple=True),
    ]
    options = [_command.JSON_OPTION]

    def run_command(self):
        """Reads the logs and prints the lines that are relevant to the request."""
        lines = []
        for path in self.argument("logs"):
            lines += read_log(path)
        relevant_lines = find_relevant_lines(lines, self.argument("request"))
        if not relevant_lines:
            message = f"no log line has the request id {self.argument('request')!r}"
            raise _command.CommandError(_command.EXIT_PROBLEMS, message)
        for line in relevant_lines:
            self.write_text(json.dumps(line) if self.option("json") else format_line(line))


def read_log(path):
    """Returns the lines of a log file as dicts; skips lines of any other format.

    Raises:
      CommandError: If the file cannot be read.
    """
    try:
        with open(path, encoding="utf-8") as file:
            texts = file.read().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        message = f"cannot read {path}: {error}"
        raise _command.CommandError(_command.EXIT_PROBLEMS, message) from error
    lines = []
    for text in texts:
        try:
            line = json.loads(text)
        except ValueError:
            # Libraries write plain-text warnings to the same file.
            continue
        if isinstance(line, dict) and {"time", "host", "event"} <= line.keys():
            lines.append(line)
    return lines


def find_relevant_lines(lines, request_id):
    """Returns a request's lines and its host's state changes around it, sorted by time.

    A connection that has ended without an answer to the request names it among others.
    """
    request_lines = [
        line
        for line in lines
        if line.get("id") == request_id or request_id in line.get("requests", ())
    ]
    relevant_lines = list(request_lines)
    for line in lines:
        if not line["event"].startswith(_CONTEXT_EVENTS):
            continue
        for request in request_lines:
            start = request["time"] - request.get("ms", 0) / 1000
            is_near = start - CONTEXT_WINDOW_S <= line["time"] <= request["time"] + CONTEXT_WINDOW_S
            if line["host"] == request["host"] and is_near and _is_relevant(line, request):
                relevant_lines.append(line)
                break
    return sorted(relevant_lines, key=lambda line: line["time"])


def format_line(line):
    """Formats a log line as text, with each send of a request on a line of its own."""
    fields = {key: value for key, value in line.items() if key not in ("time", "host", "event")}
    sends = fields.pop("sends", [])
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    texts = [f"{line['time']:.3f} {line['host']} {line['event']} {pairs}"]
    for number, send in enumerate(sends, 1):
        texts.append(f"    send {number}: " + " ".join(f"{k}={v}" for k, v in send.items()))
    return "\n".join(texts)


def _is_relevant(line, request):
    upstreams = {send.get("upstream") for send in request.get("sends", [])}
    subject = line.get("upstream") or line.get("subject")
    is_upstream_line = line["event"] in ("belief.upstream",) or "upstream" in line
    return not is_upstream_line or subject in upstreams
