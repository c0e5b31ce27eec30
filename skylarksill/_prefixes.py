"""Conversion of client prefixes in CIDR notation to sortable keys."""

import socket

ADDRESS_BITS = {socket.AF_INET: 32, socket.AF_INET6: 128}


def parse_prefix(text):
    """Parses a prefix in CIDR notation.

    This is several times faster than ``ipaddress``, which matters for 330,000 blocks.

    Args:
      text: A prefix such as "10.0.0.0/16" or "2001:db8::/32".
    Returns:
      A tuple of address bits (32 or 128), first address as an integer and prefix length; tuples
      sort by family, address and length.
    Raises:
      ValueError: If the text is not a prefix or has bits set after the prefix length.
    """
    address, _, length_text = text.partition("/")
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    bits = ADDRESS_BITS[family]
    if not (length_text.isascii() and length_text.isdigit()) or int(length_text) > bits:
        raise ValueError(f"{text!r} needs a prefix length from 0 to {bits}")
    try:
        address_number = int.from_bytes(socket.inet_pton(family, address), "big")
    except OSError:
        raise ValueError(f"{text!r} has no valid address") from None
    length = int(length_text)
    if address_number & ((1 << (bits - length)) - 1):
        raise ValueError(f"{text!r} has bits set after the prefix length")
    return bits, address_number, length
