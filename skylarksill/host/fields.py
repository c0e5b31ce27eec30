"""Checks of single fields of decoded messages."""


def check(value, kind):
    """Returns a value of a type; truth values do not pass for integers.

    Raises:
      ValueError: If it is of another type.
    """
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"expected {kind.__name__}, got {value!r}")
    return value


def decode_address(value):
    """Returns a pair of IP address and port.

    Raises:
      ValueError: If the value is not such a pair.
    """
    host, port = value
    return check(host, str), check(port, int)
