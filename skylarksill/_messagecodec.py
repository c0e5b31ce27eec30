"""Conversion between data classes and nested lists that msgpack can encode.

A data class is encoded as a list of its fields in order of definition. The layout is covered by the
protocol version that both sides check in the handshake.
"""

import dataclasses
import enum
import functools
import operator
import types
import typing

from skylarksill import frames


def encode_message(message):
    """Encodes a message as nested lists that msgpack can encode.

    Args:
      message: An instance of a data class of ``messages`` or ``records``.
    Returns:
      Lists, strings, numbers, bytes and None.
    """
    return _make_encoder(type(message))(message)


def decode_message(message_type, value):
    """Decodes a value that ``encode_message`` returned.

    Args:
      message_type: The expected class.
      value: The received value.
    Returns:
      An instance of that class.
    Raises:
      frames.FrameError: If the value does not match the fields of the class.
    """
    return _make_decoder(message_type)(value)


@functools.cache
def _list_fields(message_type):
    hints = typing.get_type_hints(message_type)
    return [(field.name, hints[field.name]) for field in dataclasses.fields(message_type)]


@functools.cache
def _make_encoder(hint):
    if isinstance(hint, typing.NewType):
        return _make_encoder(hint.__supertype__)
    if dataclasses.is_dataclass(hint):
        return _make_dataclass_encoder(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return operator.attrgetter("value")
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return _make_optional_encoder(hint)
    if typing.get_origin(hint) is tuple:
        return _make_tuple_encoder(typing.get_args(hint))
    return _encode_scalar


def _make_dataclass_encoder(message_type):
    encoders = [(name, _make_encoder(hint)) for name, hint in _list_fields(message_type)]
    return lambda message: [encode(getattr(message, name)) for name, encode in encoders]


def _make_optional_encoder(hint):
    (inner,) = [_make_encoder(arg) for arg in typing.get_args(hint) if arg is not type(None)]
    return lambda value: None if value is None else inner(value)


def _make_tuple_encoder(arguments):
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        encode_item = _make_encoder(arguments[0])
        return lambda value: [encode_item(item) for item in value]
    encoders = [_make_encoder(argument) for argument in arguments]
    return lambda value: [encode(item) for encode, item in zip(encoders, value, strict=True)]


def _encode_scalar(value):
    return value


@functools.cache
def _make_decoder(hint):
    if isinstance(hint, typing.NewType):
        return _make_decoder(hint.__supertype__)
    if dataclasses.is_dataclass(hint):
        return _make_dataclass_decoder(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return functools.partial(_decode_enum, hint)
    # The hint "NewType | None" is a typing.Union, "str | None" is a types.UnionType.
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return _make_optional_decoder(hint)
    if typing.get_origin(hint) is tuple:
        return _make_tuple_decoder(typing.get_args(hint))
    return functools.partial(_decode_scalar, hint)


def _make_dataclass_decoder(message_type):
    decoders = [_make_decoder(hint) for _, hint in _list_fields(message_type)]

    def decode(value):
        if not isinstance(value, list) or len(value) != len(decoders):
            raise frames.FrameError(f"{message_type.__name__} needs {len(decoders)} fields")
        return message_type(*[decode(item) for decode, item in zip(decoders, value, strict=True)])

    return decode


def _make_optional_decoder(hint):
    (inner,) = [_make_decoder(arg) for arg in typing.get_args(hint) if arg is not type(None)]
    return lambda value: None if value is None else inner(value)


def _make_tuple_decoder(arguments):
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        decode_item = _make_decoder(arguments[0])
        return lambda value: tuple([decode_item(item) for item in _expect_list(value)])
    decoders = [_make_decoder(argument) for argument in arguments]

    def decode(value):
        if len(_expect_list(value)) != len(decoders):
            raise frames.FrameError(f"expected a list of {len(decoders)} items")
        return tuple([decode(item) for decode, item in zip(decoders, value, strict=True)])

    return decode


def _expect_list(value):
    if not isinstance(value, list):
        raise frames.FrameError(f"expected a list, received {type(value).__name__}")
    return value


def _decode_enum(enum_type, value):
    try:
        return enum_type(value)
    except ValueError as error:
        raise frames.FrameError(str(error)) from error


def _decode_scalar(scalar_type, value):
    if scalar_type is float and type(value) is int:
        return float(value)
    if type(value) is not scalar_type:
        received_type = type(value).__name__
        raise frames.FrameError(f"expected {scalar_type.__name__}, received {received_type}")
    return value
