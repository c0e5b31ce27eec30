"""Memory that requests and connections take in the process, by parts that clients choose.

Handles heads of many small fields, and many small requests: as objects they take many times the
bytes that arrive. The sizes are those of CPython 3.11 on 64-bit machines, rounded up for the
allocator's classes.
"""

# A field besides its bytes: a tuple in the list of fields, and two bytes objects.
FIELD_BYTES = 200
# A request that was read and has not been answered, besides its fields and its body.
REQUEST_BYTES = 2_048
# An answer that waits to be written, with what is kept of its request, besides its bytes.
ANSWER_BYTES = 1_024
# A green thread that serves a request, with its stack and its part of an upstream's connection.
THREAD_BYTES = 24_576
# A connection with its parser and the green thread that reads from it.
CONNECTION_BYTES = 24_576


def estimate_field_bytes(name, value):
    """Returns the bytes of memory that a field of a head takes.

    Args:
      name: Name of the field, as bytes.
      value: Its value, as bytes.
    """
    return FIELD_BYTES + len(name) + len(value)


def estimate_answer_bytes(data):
    """Returns the bytes of memory that an encoded answer takes until it has been written.

    Args:
      data: The answer as bytes.
    """
    return ANSWER_BYTES + len(data)
