"""TCP proxy on loopback that injects faults: delays, stalls, resets and refusals."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import AsyncIterator

CHUNK_BYTES = 64 * 1024
POLL_SECONDS = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a zero timeout


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Active faults of a link; held requests and answers are delivered later."""

    delay_seconds: float = 0.0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


class FaultyLink:
    """Proxies connections to one target and applies the faults that a test sets."""

    def __init__(self, target: str):
        self.target = target
        self.faults = LinkFaults()
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[str]:
        """Listen on a free loopback port and yield the address."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        try:
            yield self.address
        finally:
            server.close()
            self.reset()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all open connections on both sides."""
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self.target.rsplit(":", 1)
        target_writer = None
        try:
            if not self.faults.refuses:
                target_reader, target_writer = await asyncio.open_connection(
                    host, int(port)
                )
        except OSError:
            pass  # the target is not listening, so the client is disconnected below
        if target_writer is None:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        copy_tasks = [
            asyncio.create_task(self._copy(reader, target_writer, "holds_requests")),
            asyncio.create_task(self._copy(target_reader, writer, "holds_answers")),
        ]
        for copy_task in copy_tasks:
            self._tasks.add(copy_task)
            copy_task.add_done_callback(self._tasks.discard)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold_flag: str
    ) -> None:
        """Copy one direction until its end or an error, which also ends the other."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.faults.delay_seconds)
                while getattr(self.faults, hold_flag):
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # one side was reset; the writer is closed below
        finally:
            self._writers.discard(writer)
            writer.close()
