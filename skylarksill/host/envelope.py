"""Envelopes of gossip datagrams, which prove who sent them, to whom and in which order.

Handles forged datagrams, and ones that were recorded and are sent again later, when their sender
may be dead. A datagram names the incarnation of the process that it is sent to and bears a number
that only rises, so it is accepted once, and only by that process. A host that doesn't know the
incarnation of a receiver gets the receiver's record as an answer. Performs no I/O.
"""

import collections
import dataclasses

import msgpack

from skylarksill import records as shared
from skylarksill.host import fields, keyring

PURPOSE = "gossip"
# Incarnation of a receiver that the sender doesn't know.
UNKNOWN_INCARNATION = 0
# Senders whose last numbers are kept. Far more than there are hosts: an entry that is dropped would
# let recorded datagrams of a former process in again.
MAX_SENDERS = 16_384


class EnvelopeError(shared.SkylarksillError):
    """A datagram is malformed, not authentic or has been received before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The process that sent a datagram."""

    host_id: shared.HostId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """An authentic datagram.

    Attributes:
      sender: The Sender.
      receiver: Incarnation of this host that the sender knows, or UNKNOWN_INCARNATION.
      payload: The bytes sent; None if the receiver is not this process, so that they may be a
        repetition.
    """

    sender: Sender
    receiver: int
    payload: bytes | None


class Mailbox:
    """Seals and opens the datagrams of one process.

    Args:
      address: IP address and port at which it receives datagrams.
      get_keyring: Function that returns the current keyring.Keyring.
    """

    def __init__(self, address, get_keyring):
        self._address = address
        self._get_keyring = get_keyring
        self._number = 0
        self._last_numbers = collections.OrderedDict()

    def seal(self, payload, own, address, incarnation):
        """Seals a payload for one receiver.

        Args:
          payload: Bytes.
          own: HostRecord of this host.
          address: IP address and port of the receiver.
          incarnation: Incarnation of the receiver, or UNKNOWN_INCARNATION.
        Returns:
          A datagram as bytes.
        """
        self._number += 1
        content = msgpack.packb((own.host_id, own.incarnation, self._number, incarnation, payload))
        return keyring.seal(self._get_keyring(), _make_context(address), content)

    def open(self, datagram, own):
        """Opens a datagram.

        Args:
          datagram: The bytes received.
          own: HostRecord of this host.
        Returns:
          An Opened.
        Raises:
          EnvelopeError: If it is malformed, not authentic or a repetition.
        """
        try:
            content = keyring.unseal(self._get_keyring(), _make_context(self._address), datagram)
            host_id, incarnation, number, receiver, payload = msgpack.unpackb(content)
            sender = Sender(fields.check(host_id, str), fields.check(incarnation, int))
            fields.check(number, int)
            fields.check(receiver, int)
            fields.check(payload, bytes)
        except keyring.SealError as error:
            raise EnvelopeError(str(error)) from error
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise EnvelopeError(f"malformed envelope: {error}") from error
        if receiver != own.incarnation:
            return Opened(sender, receiver, None)
        if number <= self._last_numbers.get(sender, 0):
            raise EnvelopeError(f"datagram {number} of host {host_id} has been received before")
        self._last_numbers[sender] = number
        self._last_numbers.move_to_end(sender)
        if len(self._last_numbers) > MAX_SENDERS:
            self._last_numbers.popitem(last=False)
        return Opened(sender, receiver, payload)


def _make_context(address):
    ip, port = address
    return PURPOSE, ip, port
