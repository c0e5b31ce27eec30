"""Command that explains which entry hosts a lookup returns for a client, and why."""

import json

from cleo import helpers

from skylarksill.console import _command


class ExplainCommand(_command.ConsoleCommand):
    """Explains the answer of a lookup."""

    name = "explain"
    description = "Explains which entry hosts a client is sent to, and why."
    arguments = [
        helpers.argument("service", "Name of the service."),
        helpers.argument("client", "IP address of the client."),
    ]
    options = [*_command.SETTINGS_OPTIONS, _command.JSON_OPTION]

    def run_command(self):
        """Ranks the entry hosts from the agent's view and prints the explanation."""
        # Imported here because it loads routing and its block table, which no other command needs.
        from skylarksill.console import _explanations

        status, current = self.ask_status(includes_blocks=True)
        zone = self.load_settings().zone
        try:
            explanation = _explanations.explain_client(
                current,
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
