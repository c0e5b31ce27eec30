"""File of the keys that hosts share: INI, section ``peer-keys``, lines ``id = digits``."""

import configparser
import pathlib

from skylarksill.host import keyring

SECTION = "peer-keys"
HEAD = (
    "; Keys that authenticate what hosts send to each other. The first key seals, all keys are\n"
    "; accepted."
)


def read_keys(path):
    """Reads the keys of a file.

    Args:
      path: Path of the file.
    Returns:
      A keyring.Keyring; the first key of the file seals.
    Raises:
      keyring.KeyringError: If the file or a key is missing or malformed.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"))
        return keyring.parse_keys(parser.items(SECTION))
    except (OSError, UnicodeDecodeError, configparser.Error, keyring.KeyringError) as error:
        raise keyring.KeyringError(f"cannot read peer keys {path}: {error}") from error


def format_keys(ring):
    """Returns the text of a file with the keys of a Keyring."""
    lines = [f"{key_id} = {key.hex()}" for key_id, key in ring.keys]
    return "\n".join([HEAD, f"[{SECTION}]", *lines, ""])
