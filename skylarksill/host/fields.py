"""Type checks of the fields of decoded messages."""


def check(value, kind):
    """Returns the value if it has the given type; a boolean is not accepted as an integer.

    Raises:
      ValueError: If the value has another type.
    """
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"expected {kind.__name__}, got {value!r}")
    return value


def decode_address(value):
    """Returns the IP address and port of a decoded pair.

    Raises:
      ValueError: If the value is not such a pair.
    """
    ip, port = value
    return check(ip, str), check(port, int)
