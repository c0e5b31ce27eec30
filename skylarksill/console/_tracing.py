"""Command that tells the story of one request from the hosts' structured logs."""

import json

from cleo import helpers

from skylarksill.console import _command

# Lines of the same host that can explain a request, in this time before and after it.
CONTEXT_S = 2.0
_CONTEXT_EVENTS = ("store.", "belief.", "upstream.", "host.", "log.")


class TraceCommand(_command.ConsoleCommand):
    """Shows a request, its sends and what its host came to believe around it."""

    name = "trace"
    description = "Explains a request from the structured logs of the hosts."
    arguments = [
        helpers.argument("request", "Id of the request."),
        helpers.argument("logs", "Log files of the hosts.", multiple=True),
    ]
    options = [_command.JSON_OPTION]

    def run_command(self):
        """Reads the logs and prints the lines that concern the request."""
        lines = []
        for path in self.argument("logs"):
            lines += read_log(path)
        story = find_story(lines, self.argument("request"))
        if not story:
            message = f"no log line has the request id {self.argument('request')!r}"
            raise _command.CommandError(_command.EXIT_PROBLEMS, message)
        for line in story:
            self.write_text(json.dumps(line) if self.option("json") else format_line(line))


def read_log(path):
    """Returns the lines of a log file as dicts; lines of another form are left out.

    Raises:
      CommandError: If the file can't be read.
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
            # Warnings of libraries share the output.
            continue
        if isinstance(line, dict) and {"time", "host", "event"} <= line.keys():
            lines.append(line)
    return lines


def find_story(lines, request_id):
    """Returns the lines of a request and of its host's beliefs around it, in order of time."""
    own = [line for line in lines if line.get("id") == request_id]
    story = list(own)
    for line in lines:
        if not line["event"].startswith(_CONTEXT_EVENTS):
            continue
        for request in own:
            begun = request["time"] - request.get("ms", 0) / 1000
            is_near = begun - CONTEXT_S <= line["time"] <= request["time"] + CONTEXT_S
            if line["host"] == request["host"] and is_near and _concerns(line, request):
                story.append(line)
                break
    return sorted(story, key=lambda line: line["time"])


def format_line(line):
    """Returns a log line as text."""
    fields = {key: value for key, value in line.items() if key not in ("time", "host", "event")}
    sends = fields.pop("sends", [])
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    texts = [f"{line['time']:.3f} {line['host']} {line['event']} {pairs}"]
    for number, send in enumerate(sends, 1):
        texts.append(f"    send {number}: " + " ".join(f"{k}={v}" for k, v in send.items()))
    return "\n".join(texts)


def _concerns(line, request):
    upstreams = {send.get("upstream") for send in request.get("sends", [])}
    subject = line.get("upstream") or line.get("subject")
    is_upstream_line = line["event"] in ("belief.upstream",) or "upstream" in line
    return not is_upstream_line or subject in upstreams
