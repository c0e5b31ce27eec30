"""Checks of the fields of decoded messages."""

import ipaddress
import math
import reprlib

from skylarksill.host import records

MAX_PORT = 65_535
# Integers of the messages between hosts and of the store's objects.
MAX_INTEGER = 2**63 - 1
MAX_SLOTS = 100_000
# Longer texts are no numbers that any field can mean.
MAX_NUMBER_BYTES = 32


def check(value, kind):
    """Returns the value if it has the given type; a boolean is not accepted as an integer.

    Raises:
      ValueError: If the value has another type.
    """
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"expected {kind.__name__}, got {reprlib.repr(value)}")
    return value


def check_range(value, least, most):
    """Returns the value if it is an integer from ``least`` to ``most``.

    Raises:
      ValueError: If it is not.
    """
    if not least <= check(value, int) <= most:
        raise ValueError(f"{value} is not between {least} and {most}")
    return value


def check_integer(value):
    """Returns the value if it is an integer that messages between hosts can carry.

    Raises:
      ValueError: If it is not.
    """
    return check_range(value, -MAX_INTEGER, MAX_INTEGER)


def check_number(value, least=0.0):
    """Returns the value as a finite floating-point number of at least ``least``.

    Raises:
      ValueError: If it is none.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {reprlib.repr(value)}")
    number = float(value)
    if not least <= number < math.inf:
        raise ValueError(f"{number} is not a finite number of at least {least}")
    return number


def read_integer(text, least, most):
    """Reads an integer from the bytes of a header.

    Raises:
      ValueError: If it is malformed or not between ``least`` and ``most``.
    """
    if len(text) > MAX_NUMBER_BYTES:
        raise ValueError(f"number of {len(text)} bytes")
    return check_range(int(text), least, most)


def check_text(value):
    """Returns the value if it is a string that can be encoded.

    Raises:
      ValueError: If it is not, for example because it holds half of a surrogate pair.
    """
    check(value, str).encode()
    return value


def check_address(ip, port):
    """Returns the pair of an IPv4 address as text and a port to connect to.

    Raises:
      ValueError: If the address or the port is none.
    """
    return str(ipaddress.IPv4Address(check(ip, str))), check_range(port, 1, MAX_PORT)


def decode_address(value):
    """Returns the IP address and port of a decoded pair.

    Raises:
      ValueError: If the value is not such a pair.
    """
    ip, port = value
    return check_text(ip), check_range(port, 1, MAX_PORT)


def decode_capacity(value):
    """Returns the records.HostCapacity of a decoded list, or None for None.

    Raises:
      ValueError: If the value is neither.
    """
    if value is None:
        return None
    cores, link_bytes_per_s, memory_bytes, descriptors = check(value, list)
    return records.HostCapacity(
        check_number(cores),
        check_number(link_bytes_per_s),
        check_range(memory_bytes, 0, MAX_INTEGER),
        check_range(descriptors, 0, MAX_INTEGER),
    )
