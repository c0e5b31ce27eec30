"""The operators' command line ``skylarksill``."""

import cleo.application

import skylarksill
from skylarksill import logs
from skylarksill.console import (
    _drains,
    _explaining,
    _generating,
    _keys,
    _publishing,
    _status,
    _tracing,
)

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
    _keys.KeysCommand,
)


class ConsoleApplication(cleo.application.Application):
    """The application; log lines go to standard error while a command runs."""

    def run(self, *arguments, **keywords):
        """Runs the command that the command line names and returns its exit code."""
        logs.start_logging()
        return super().run(*arguments, **keywords)


def make_application():
    """Creates the application with all commands.

    cleo adds the command ``completions`` for shell completion.

    Returns:
      A ConsoleApplication.
    """
    application = ConsoleApplication("skylarksill", skylarksill.__version__)
    for command in COMMANDS:
        application.add(command())
    return application
