"""What all commands share: settings, connections, exit codes and the output of problems."""

import os
import uuid

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output

from skylarksill import (
    clock,
    configuration,
    logs,
    messages,
    objectstore,
    publication,
    records,
    rpc,
    settings,
)

EXIT_OK = 0
EXIT_PROBLEMS = 1
EXIT_BAD_SETTINGS = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNAVAILABLE = 5

SETTINGS_VARIABLE = "SKYLARKSILL_SETTINGS"
AGENT_TIMEOUT_S = 3.0
SHARDS_PER_CALL = 4
MAX_DIFF_LINES = 200

SETTINGS_OPTIONS = [
    helpers.option(
        "settings",
        None,
        f"Settings of a host whose agent is asked (or {SETTINGS_VARIABLE}).",
        flag=False,
    ),
    helpers.option(
        "set", None, "Replaces a setting: section.key=value.", flag=False, multiple=True
    ),
]
JSON_OPTION = helpers.option("json", None, "Prints JSON.")


class CommandError(Exception):
    """A command ends with a message and an exit code."""

    def __init__(self, exit_code, *lines):
        super().__init__("\n".join(lines))
        self.exit_code = exit_code
        self.lines = lines


class ConsoleCommand(command.Command):
    """Base of the commands; ``run_command`` does the work of each."""

    def handle(self):
        """Runs the command; called by cleo.

        Returns:
          The exit code.
        """
        self.log = logs.make_logger("cli")
        self.clock = clock.SystemClock()
        try:
            return self.run_command() or EXIT_OK
        except CommandError as error:
            for line in error.lines:
                self.write_error(line)
            return error.exit_code

    def run_command(self):
        """Does the work; returns an exit code or None."""
        raise NotImplementedError

    def ask_once(self, question):
        """Asks a question of cleo.

        Raises:
          CommandError: If the input has ended.
        """
        # Without a bound cleo asks again for ever at the end of the input.
        question.set_max_attempts(1)
        try:
            return question.ask(self.io)
        except RuntimeError as error:
            reason = "the input has ended; nothing was changed"
            raise CommandError(EXIT_PROBLEMS, reason) from error

    def write_error(self, text):
        """Writes a line to standard error as it is, without styles."""
        self.io.write_error_line(text, type=output.Type.RAW)

    def write_text(self, text):
        """Writes a line to standard output as it is, without styles."""
        self.io.write_line(text, type=output.Type.RAW)

    def load_settings(self):
        """Loads the settings that the options name.

        Raises:
          CommandError: If there are none or they have problems.
        """
        path = self.option("settings") or os.environ.get(SETTINGS_VARIABLE)
        if not path:
            reason = f"name a settings file with --settings or {SETTINGS_VARIABLE}"
            raise CommandError(EXIT_BAD_SETTINGS, reason)
        loaded, problems = settings.load_settings(path, self.option("set"))
        if problems:
            raise CommandError(EXIT_BAD_SETTINGS, *[str(problem) for problem in problems])
        return loaded

    def open_store(self):
        """Returns a client of the platform store.

        Raises:
          CommandError: If the settings name no platform.
        """
        loaded = self.load_settings()
        if loaded.platform is None:
            raise CommandError(EXIT_BAD_SETTINGS, "[platform] address: is missing")
        return objectstore.ObjectStore(loaded.platform, f"cli-{loaded.host}")

    def read_published(self, store):
        """Reads the configuration in the store.

        Raises:
          CommandError: If it cannot be read or is damaged.
        """
        try:
            return publication.read_published(store)
        except publication.FaultyError as error:
            raise CommandError(EXIT_PROBLEMS, *[str(item) for item in error.problems]) from error
        except objectstore.StoreError as error:
            raise CommandError(EXIT_UNAVAILABLE, f"platform store: {error}") from error

    def read_present(self, store):
        """Reads the configuration in the store, which must have one.

        Raises:
          CommandError: If there is none.
        """
        published = self.read_published(store)
        if published.configuration is None:
            raise CommandError(EXIT_PROBLEMS, "the platform store has no configuration yet")
        return published

    def publish(self, store, base, changed, subject):
        """Checks and publishes a configuration and logs the outcome.

        Args:
          store: The client of the platform store.
          base: The Published that the change was made from.
          changed: The Configuration to publish.
          subject: What changes, for the log line.
        Returns:
          The generation that is now in the store.
        Raises:
          CommandError: If it was not published, or that is unknown.
        """
        problems = configuration.check_configuration(changed)
        if problems:
            raise CommandError(EXIT_PROBLEMS, *[str(problem) for problem in problems])
        write_id = uuid.uuid4().hex
        fields = logs.format_fields(base=base.generation, write_id=write_id, subject=subject)
        try:
            head = publication.publish_configuration(store, base, changed, write_id, self.clock)
        except publication.ConflictError as error:
            self.log.warning("not published, conflict {}", fields)
            raise make_conflict(error.present, changed, error.verdict) from error
        except publication.PublishError as error:
            self.log.warning("publishing failed verdict={} {}", error.verdict.value, fields)
            is_unknown = error.verdict is records.Verdict.MAY_HAVE_RUN
            raise CommandError(
                EXIT_UNKNOWN if is_unknown else EXIT_UNAVAILABLE, f"platform store: {error}"
            ) from error
        except (publication.FaultyError, objectstore.StoreError) as error:
            raise CommandError(EXIT_UNAVAILABLE, f"platform store: {error}") from error
        self.log.info("published generation={} {}", head.generation, fields)
        return head.generation

    def ask_status(self, has_blocks=False):
        """Asks the agent for the state of the deployment.

        Args:
          has_blocks: False to leave out the client blocks, which are most of the text.
        Returns:
          A pair of messages.StatusResult and Configuration.
        Raises:
          CommandError: If the agent gave no answer.
        """
        loaded = self.load_settings()
        agent = open_agent(loaded, (loaded.address, loaded.agent_port))
        try:
            status = call_agent(agent, "status", messages.StatusCall(), messages.StatusResult)
            if status.head is not None:
                return status, fetch_configuration(agent, status.head, has_blocks)
        except rpc.RpcError as error:
            raise CommandError(EXIT_UNAVAILABLE, f"agent: {error}") from error
        finally:
            agent.close()
        if not status.generation:
            raise CommandError(EXIT_UNAVAILABLE, f"{status.host} has no configuration yet")
        # An agent that does not name its head has the configuration that is in the store.
        return status, self.read_present(self.open_store()).configuration


def open_agent(loaded, address):
    """Returns a client of an agent.

    Args:
      loaded: Settings with the deployment's key.
      address: IP address and port of the agent.
    """
    identity = rpc.Identity("cli", loaded.host, uuid.uuid4().hex)
    return rpc.RpcClient(address, loaded.shared_key, identity)


def make_conflict(present, changed, verdict):
    """Makes the error that shows another operator's configuration and the difference to it."""
    lines = [f"conflict: generation {present.generation} of another write is in the store"]
    if verdict is records.Verdict.MAY_HAVE_RUN:
        lines.append("this change may have been in force before it")
    if present.configuration is not None:
        diff = configuration.diff_configurations(present.configuration, changed)
        lines += diff[:MAX_DIFF_LINES] or ["no difference"]
        if len(diff) > MAX_DIFF_LINES:
            lines.append(f"{len(diff) - MAX_DIFF_LINES} further lines differ")
    return CommandError(EXIT_CONFLICT, *lines)


def call_agent(agent, method, message, result_type):
    """Calls a method of an agent.

    Raises:
      rpc.RpcError: If it gave no answer.
    """
    body = agent.call(method, messages.encode_message(message), AGENT_TIMEOUT_S)
    return messages.decode_message(result_type, body)


def fetch_configuration(agent, head, has_blocks):
    """Fetches the configuration in force at an agent.

    Raises:
      rpc.RpcError: If the agent gave no answer.
      CommandError: If its shards are damaged.
    """
    if not has_blocks:
        head = configuration.select_core(head)
    digests = [digest for _, digest in head.shards]
    texts = {}
    for start in range(0, len(digests), SHARDS_PER_CALL):
        call = messages.ShardsCall(tuple(digests[start : start + SHARDS_PER_CALL]))
        texts.update(call_agent(agent, "shards", call, messages.ShardsResult).shards)
    joined, problems = configuration.join_shards(head, texts)
    if problems:
        raise CommandError(EXIT_PROBLEMS, *[str(problem) for problem in problems])
    return joined
