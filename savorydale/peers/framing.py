"""Framing of Thrift messages on an asyncio stream, with a four-byte length prefix."""

import asyncio
import struct

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from savorydale.exceptions import PeerProtocolError
from savorydale.messages.peer.ttypes import PeerMessage

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024


def encode(message: PeerMessage) -> bytes:
    """Return ``message`` as one frame."""
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    payload = buffer.getvalue()
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode(payload: bytes) -> PeerMessage:
    """Return the message in ``payload``.

    Raises
    ------
    PeerProtocolError
        If ``payload`` is not a valid message.
    """
    message = PeerMessage()
    try:
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(payload)))
        body = body_of(message)
        if body is not None:
            body.validate()
    except Exception as error:  # the decoder's error type depends on the data
        raise PeerProtocolError(f"frame of {len(payload)} bytes: {error!r}") from error
    if body is None:
        raise PeerProtocolError("frame contains no known message")
    return message


def body_of(message: PeerMessage) -> object | None:
    """Return the field of the union that is set, or None."""
    for value in vars(message).values():
        if value is not None:
            return value
    return None


async def read_message(reader: asyncio.StreamReader) -> tuple[PeerMessage, int] | None:
    """Return the next message and its size in bytes, or None at end of stream.

    Raises
    ------
    PeerProtocolError
        If the frame is too large or contains no valid message.
    """
    try:
        header = await reader.readexactly(LENGTH_PREFIX.size)
        (length,) = LENGTH_PREFIX.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise PeerProtocolError(f"frame of {length} bytes exceeds the size limit")
        payload = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return decode(payload), LENGTH_PREFIX.size + length
