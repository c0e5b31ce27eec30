"""The operators' command line ``skylarksill``."""

import cleo.application

import skylarksill
from skylarksill import logs
from skylarksill.console import _drains, _explaining, _generating, _publishing, _status, _tracing

COMMANDS = (
    _generating.QuestionnaireCommand,
    _generating.GenerateCommand,
    _generating.CheckCommand,
    _publishing.ApplyCommand,
    _publishing.FetchCommand,
    _status.StatusCommand,
    _drains.DrainCommand,
    _drains.ShiftCommand,
    _explaining.ExplainCommand,
    _tracing.TraceCommand,
)


class ConsoleApplication(cleo.application.Application):
    """Writes log lines to standard error while a command runs."""

    def run(self, *arguments, **named):
        """Runs the command of the command line and returns its exit code."""
        logs.start_logging()
        return super().run(*arguments, **named)


def make_application():
    """Makes the application with all commands.

    Shell completion is the command ``completions`` that cleo adds.

    Returns:
      A cleo Application.
    """
    application = ConsoleApplication("skylarksill", skylarksill.__version__)
    for command in COMMANDS:
        application.add(command())
    return application
