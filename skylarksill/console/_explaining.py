"""Command that explains where a client is sent and why."""

import json

from cleo import helpers

from skylarksill.console import _command


class ExplainCommand(_command.ConsoleCommand):
    """Explains the answer of a look-up."""

    name = "explain"
    description = "Explains which entry hosts a client is sent to, and why."
    arguments = [
        helpers.argument("service", "Name of the service."),
        helpers.argument("client", "IP address of the client."),
    ]
    options = [*_command.SETTINGS_OPTIONS, _command.JSON_OPTION]

    def run_command(self):
        """Ranks the entry hosts with the agent's view and prints each step."""
        # Routing holds the block table, which no other command needs.
        from skylarksill.console import _explanations

        status, present = self.ask_status(has_blocks=True)
        zone = self.load_settings().zone
        try:
            explanation = _explanations.explain_client(
                present,
                status,
                self.argument("service"),
                self.argument("client"),
                zone,
                self.clock.monotonic(),
            )
        except _explanations.ExplainError as error:
            raise _command.CommandError(_command.EXIT_PROBLEMS, str(error)) from error
        if self.option("json"):
            self.write_text(json.dumps(explanation, indent=2))
            return
        for line in _explanations.format_explanation(explanation):
            self.write_text(line)
