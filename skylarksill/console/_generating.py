"""Commands that ask for answers, generate a configuration from them and check such files."""

import pathlib

from cleo import helpers
from cleo.ui import question

from skylarksill import configuration, questionnaire
from skylarksill.console import _command

FORCE_OPTION = helpers.option("force", None, "Writes over a file that is there.")


class QuestionnaireCommand(_command.ConsoleCommand):
    """Asks the questions and writes the answers to a file."""

    name = "questionnaire"
    description = "Asks for the sizes of a deployment and writes the answers to a file."
    arguments = [helpers.argument("answers", "INI file to write.")]
    options = [FORCE_OPTION]

    def run_command(self):
        """Asks all questions, writes the answers and reports problems in them."""
        path = check_output_file(self.argument("answers"), self.option("force"))
        if not self.io.is_interactive():
            # cleo would answer every question with its default, also those without a default.
            reason = "the questions need a terminal; use the command generate for a file of answers"
            raise _command.CommandError(_command.EXIT_PROBLEMS, reason)
        text = questionnaire.ask_answers(self._ask, self.write_text)
        write_file(path, text)
        _, problems = questionnaire.parse_answers(text)
        fail_on_problems(problems)
        self.write_text(f"wrote {path}; next: skylarksill generate {path}")

    def _ask(self, prompt, default):
        question_text = f"{prompt} [{default}]:" if default else f"{prompt}:"
        return self.ask_question(question.Question(question_text, default=default))


class GenerateCommand(_command.ConsoleCommand):
    """Generates a configuration from answers."""

    name = "generate"
    description = "Generates a configuration from answers."
    arguments = [
        helpers.argument("answers", "INI file of the questionnaire."),
        helpers.argument("configuration", "INI file to write; standard output without.", True),
    ]
    options = [FORCE_OPTION]

    def run_command(self):
        """Reads the answers and writes the configuration to a file or standard output."""
        answers, problems = questionnaire.load_answers(self.argument("answers"))
        fail_on_problems(problems)
        generated, problems = questionnaire.generate_configuration(answers)
        fail_on_problems(problems)
        text = configuration.format_configuration(generated)
        if self.argument("configuration") is None:
            self.write_text(text.rstrip())
            return
        path = check_output_file(self.argument("configuration"), self.option("force"))
        write_file(path, text)
        self.write_text(
            f"wrote {path}: {len(generated.hosts)} hosts, {len(generated.upstreams)} upstreams"
        )


class CheckCommand(_command.ConsoleCommand):
    """Checks a configuration file or a file of answers."""

    name = "check"
    description = "Checks a configuration or a file of answers; prints one line per problem."
    arguments = [helpers.argument("file", "INI file.")]
    options = [helpers.option("answers", None, "The file holds answers.")]

    def run_command(self):
        """Checks the file."""
        path = self.argument("file")
        if self.option("answers"):
            answers, problems = questionnaire.load_answers(path)
            fail_on_problems(problems)
            fail_on_problems(questionnaire.generate_configuration(answers)[1])
        else:
            load_configuration(path)
        self.write_text(f"{path}: no problems")


def load_configuration(path):
    """Reads a configuration file and checks it.

    Raises:
      CommandError: If the file cannot be read or the configuration has problems.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _command.CommandError(_command.EXIT_PROBLEMS, f"{path}: {error}") from error
    loaded, problems = configuration.parse_configuration(text)
    fail_on_problems(problems)
    fail_on_problems(configuration.check_configuration(loaded))
    return loaded


def fail_on_problems(problems):
    """Ends the command with one line per problem if there are any problems.

    Raises:
      CommandError: If there is a problem.
    """
    if problems:
        lines = [str(problem) for problem in problems]
        raise _command.CommandError(_command.EXIT_PROBLEMS, *lines)


def check_output_file(path, may_overwrite):
    """Returns the path of a file to write, after checking that it may be written.

    Raises:
      CommandError: If the file exists and must not be overwritten.
    """
    if pathlib.Path(path).exists() and not may_overwrite:
        reason = f"{path} exists; --force overwrites it"
        raise _command.CommandError(_command.EXIT_PROBLEMS, reason)
    return pathlib.Path(path)


def write_file(path, text):
    """Writes a text file.

    Raises:
      CommandError: If the file cannot be written.
    """
    try:
        pathlib.Path(path).write_text(text, encoding="utf-8")
    except OSError as error:
        raise _command.CommandError(_command.EXIT_PROBLEMS, f"{path}: {error}") from error
