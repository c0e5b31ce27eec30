"""Base class and functions shared by the commands: settings, connections, exit codes, errors."""

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
EXIT_OUTCOME_UNKNOWN = 4
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
    """Ends a command with lines for standard error and an exit code."""

    def __init__(self, exit_code, *lines):
        super().__init__("\n".join(lines))
        self.exit_code = exit_code
        self.lines = lines


class ConsoleCommand(command.Command):
    """Base class of the commands; each command implements ``run_command``."""

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
        """Runs the command; returns an exit code, or None for EXIT_OK."""
        raise NotImplementedError

    def ask_question(self, question):
        """Asks the operator a question.

        Args:
          question: A question of cleo.
        Raises:
          CommandError: If the input has ended.
        """
        # Without a limit cleo repeats the question forever once the input has ended.
        question.set_max_attempts(1)
        try:
            return question.ask(self.io)
        except RuntimeError as error:
            reason = "the input has ended; nothing was changed"
            raise CommandError(EXIT_PROBLEMS, reason) from error

    def write_error(self, text):
        """Writes a line to standard error, without interpreting style tags."""
        self.io.write_error_line(text, type=output.Type.RAW)

    def write_text(self, text):
        """Writes a line to standard output, without interpreting style tags."""
        self.io.write_line(text, type=output.Type.RAW)

    def load_settings(self):
        """Loads the settings file given by an option or the environment variable.

        Raises:
          CommandError: If none is given or the settings are invalid.
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
          CommandError: If the settings have no address of the platform store.
        """
        loaded = self.load_settings()
        if loaded.platform is None:
            raise CommandError(EXIT_BAD_SETTINGS, "[platform] address: is missing")
        return objectstore.ObjectStore(loaded.platform, f"cli-{loaded.host}")

    def read_published(self, store):
        """Reads the configuration in the store.

        Raises:
          CommandError: If the configuration cannot be read or is damaged.
        """
        try:
            return publication.read_published(store)
        except publication.DamagedConfigurationError as error:
            raise CommandError(EXIT_PROBLEMS, *[str(item) for item in error.problems]) from error
        except objectstore.StoreError as error:
            raise CommandError(EXIT_UNAVAILABLE, f"platform store: {error}") from error

    def require_published(self, store):
        """Reads the configuration in the store and requires that there is one.

        Raises:
          CommandError: If the store has no configuration or it cannot be read.
        """
        published = self.read_published(store)
        if published.configuration is None:
            raise CommandError(EXIT_PROBLEMS, "the platform store has no configuration yet")
        return published

    def publish(self, store, base, changed, subject):
        """Checks and publishes a configuration and logs the outcome.

        Args:
          store: The client of the platform store.
          base: The PublishedConfiguration that the change is based on.
          changed: The Configuration to publish.
          subject: Short description of the change for the log line.
        Returns:
          The published generation.
        Raises:
          CommandError: If the configuration was not published or the outcome is unknown.
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
            raise make_conflict_error(error.published, changed, error.verdict) from error
        except publication.PublishError as error:
            self.log.warning("publishing failed verdict={} {}", error.verdict.value, fields)
            is_outcome_unknown = error.verdict is records.Verdict.MAY_HAVE_RUN
            raise CommandError(
                EXIT_OUTCOME_UNKNOWN if is_outcome_unknown else EXIT_UNAVAILABLE,
                f"platform store: {error}",
            ) from error
        except (publication.DamagedConfigurationError, objectstore.StoreError) as error:
            raise CommandError(EXIT_UNAVAILABLE, f"platform store: {error}") from error
        self.log.info("published generation={} {}", head.generation, fields)
        return head.generation

    def ask_status(self, includes_blocks=False):
        """Asks the host's agent for the state of the deployment.

        Args:
          includes_blocks: Whether to fetch the client blocks, which are most of a configuration's
            text.
        Returns:
          A pair of messages.StatusResult and Configuration.
        Raises:
          CommandError: If the agent did not answer or no configuration is known.
        """
        loaded = self.load_settings()
        agent = open_agent(loaded, (loaded.address, loaded.agent_port))
        try:
            status = call_agent(agent, "status", messages.StatusCall(), messages.StatusResult)
            if status.head is not None:
                return status, fetch_configuration(agent, status.head, includes_blocks)
        except rpc.RpcError as error:
            raise CommandError(EXIT_UNAVAILABLE, f"agent: {error}") from error
        finally:
            agent.close()
        if not status.generation:
            raise CommandError(EXIT_UNAVAILABLE, f"{status.host} has no configuration yet")
        # The agent has a generation but sent no head, so the configuration is read from the store.
        return status, self.require_published(self.open_store()).configuration


def open_agent(loaded, address):
    """Returns a client of an agent.

    Args:
      loaded: Settings that hold the deployment's shared key.
      address: IP address and port of the agent.
    """
    identity = rpc.Identity("cli", loaded.host, uuid.uuid4().hex)
    return rpc.RpcClient(address, loaded.shared_key, identity)


def make_conflict_error(published, changed, verdict):
    """Returns the error that shows another operator's write and the difference of a change to it.

    Args:
      published: The PublishedConfiguration that is in the store.
      changed: The Configuration that was to be published.
      verdict: records.Verdict on whether ``changed`` was published.
    """
    lines = [f"conflict: generation {published.generation} of another write is in the store"]
    if verdict is records.Verdict.MAY_HAVE_RUN:
        lines.append("this change may have been in force before it")
    if published.configuration is not None:
        diff = configuration.diff_configurations(published.configuration, changed)
        lines += diff[:MAX_DIFF_LINES] or ["no difference"]
        if len(diff) > MAX_DIFF_LINES:
            lines.append(f"{len(diff) - MAX_DIFF_LINES} further lines differ")
    return CommandError(EXIT_CONFLICT, *lines)


def call_agent(agent, method, message, result_type):
    """Calls a method of an agent.

    Raises:
      rpc.RpcError: If the agent did not answer.
    """
    body = agent.call(method, messages.encode_message(message), AGENT_TIMEOUT_S)
    return messages.decode_message(result_type, body)


def fetch_configuration(agent, head, includes_blocks):
    """Fetches the configuration of a head from an agent, without client blocks unless asked for.

    Raises:
      rpc.RpcError: If the agent did not answer.
      CommandError: If the shards are missing or damaged.
    """
    if not includes_blocks:
        head = configuration.select_core_shards(head)
    digests = [digest for _, digest in head.shards]
    texts = {}
    for start in range(0, len(digests), SHARDS_PER_CALL):
        call = messages.ShardsCall(tuple(digests[start : start + SHARDS_PER_CALL]))
        texts.update(call_agent(agent, "shards", call, messages.ShardsResult).shards)
    joined, problems = configuration.join_shards(head, texts)
    if problems:
        raise CommandError(EXIT_PROBLEMS, *[str(problem) for problem in problems])
    return joined
