"""Commands that copy a whole configuration from a file to the platform store or back."""

import dataclasses
import pathlib

from cleo import helpers

from skylarksill import configuration, objectstore, publication, records
from skylarksill.console import _command, _generating


class ApplyCommand(_command.ConsoleCommand):
    """Publishes a configuration file."""

    name = "apply"
    description = "Puts a configuration file in force as the next generation."
    help = (
        "The file's generation must be the one in the store, so that no other operator's change "
        "is undone by accident; apply then writes the new generation into the file. Start from "
        "the present configuration with the command fetch."
    )
    arguments = [helpers.argument("configuration", "INI file.")]
    options = [
        *_command.SETTINGS_OPTIONS,
        helpers.option("dry-run", None, "Prints the changes only."),
        helpers.option("replace", None, "Replaces a damaged configuration or any generation."),
    ]

    def run_command(self):
        """Compares the file with the store and publishes it."""
        path = self.argument("configuration")
        changed = _generating.load_configuration(path)
        store = self.open_store()
        base = self._read_base(store)
        diff = None
        if base.configuration is not None:
            diff = configuration.diff_configurations(base.configuration, changed)
        if diff == ():
            # An earlier run of apply with an unknown outcome may have published this content.
            self.write_text(f"generation {base.generation} in the store has the same content")
            self._write_generation(path, changed, base.generation)
            return
        if changed.generation != base.generation and not self.option("replace"):
            raise _command.make_conflict_error(base, changed, records.Verdict.NOT_RUN)
        for line in diff or ():
            self.write_text(line)
        if self.option("dry-run"):
            return
        generation = self.publish(store, base, changed, f"apply {pathlib.Path(path).name}")
        self.write_text(f"generation {generation} is in the store")
        self._write_generation(path, changed, generation)

    def _write_generation(self, path, changed, generation):
        written = dataclasses.replace(changed, generation=generation)
        if written != changed and not self.option("dry-run"):
            _generating.write_file(path, configuration.format_configuration(written))

    def _read_base(self, store):
        if not self.option("replace"):
            return self.read_published(store)
        try:
            return publication.read_published(store)
        except publication.DamagedConfigurationError as error:
            return publication.PublishedConfiguration(error.version, error.head, None)
        except objectstore.StoreError as error:
            raise _command.CommandError(
                _command.EXIT_UNAVAILABLE, f"platform store: {error}"
            ) from error


class FetchCommand(_command.ConsoleCommand):
    """Writes the configuration in the store to a file."""

    name = "fetch"
    description = "Writes the configuration in the platform store to a file."
    arguments = [helpers.argument("configuration", "INI file to write.")]
    options = [*_command.SETTINGS_OPTIONS, _generating.FORCE_OPTION]

    def run_command(self):
        """Reads the store and writes the file."""
        target = self.argument("configuration")
        path = _generating.check_output_file(target, self.option("force"))
        published = self.require_published(self.open_store())
        _generating.write_file(path, configuration.format_configuration(published.configuration))
        self.write_text(f"wrote generation {published.generation} to {path}")
