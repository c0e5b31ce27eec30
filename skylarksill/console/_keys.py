"""Command that shows and changes the file of keys that the hosts of a deployment share."""

import os
import pathlib

from cleo import helpers

from skylarksill.console import _command
from skylarksill.host import keyfile, keyring

# The file holds secrets.
FILE_MODE = 0o600


class KeysCommand(_command.ConsoleCommand):
    """Shows the ids of the keys, or changes the keys by one step."""

    name = "keys"
    description = "Shows or changes the file of keys that the hosts share."
    arguments = [helpers.argument("file", "INI file of keys.")]
    options = [
        helpers.option("add", None, "Adds a new key with this id; the first key seals.", False),
        helpers.option("promote", None, "Moves this key to the front, so that it seals.", False),
        helpers.option("remove", None, "Removes this key, which must not seal.", False),
    ]
    help = """Replace a key in three steps; put the file on all hosts before the next one:

  <info>skylarksill keys peer-keys.ini --add 2027-01</info>
  <info>skylarksill keys peer-keys.ini --promote 2027-01</info>
  <info>skylarksill keys peer-keys.ini --remove 2026-12</info>"""

    def run_command(self):
        """Applies the change, if there is one, and prints the ids of the keys."""
        path = pathlib.Path(self.argument("file"))
        changes = [
            (change, key_id)
            for change, key_id in (
                (keyring.add_key, self.option("add")),
                (keyring.promote_key, self.option("promote")),
                (keyring.remove_key, self.option("remove")),
            )
            if key_id
        ]
        if len(changes) > 1:
            reason = "one step at a time: use only one of --add, --promote and --remove"
            raise _command.CommandError(_command.EXIT_PROBLEMS, reason)
        try:
            ring = keyfile.read_keys(path) if path.exists() or not changes else keyring.Keyring()
            for change, key_id in changes:
                ring = change(ring, key_id)
        except keyring.KeyringError as error:
            raise _command.CommandError(_command.EXIT_PROBLEMS, str(error)) from error
        if changes:
            _write_keys(path, ring)
        for position, key_id in enumerate(ring.ids):
            self.write_text(f"{key_id}: {'accepted' if position else 'seals'}")


def _write_keys(path, ring):
    """Replaces the file of keys at once, so that a host never reads a half of it."""
    partial = path.with_name(f"{path.name}.new")
    try:
        descriptor = os.open(partial, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        with open(descriptor, "w", encoding="utf-8") as file:
            file.write(keyfile.format_keys(ring))
        os.replace(partial, path)
    except OSError as error:
        raise _command.CommandError(_command.EXIT_PROBLEMS, f"{path}: {error}") from error
