"""TCP proxy for tests that injects faults and delays per link."""

import asyncio
import threading
from collections.abc import Coroutine
from enum import Enum
from typing import Any, NamedTuple

from spoolcrank._wire import FrameReader
from spoolcrank.errors import WireError

_CHUNK_BYTES = 65536


class Fault(Enum):
    """A fault of a link.

    `CUT` closes the link's connections, and each new one as soon as it is accepted. `BLACKHOLE`
    drops the bytes of both directions, `ONE_WAY` only those sent to the target. `HALF_CLOSE` ends
    the stream to the target at the next bytes from the source. `MID_ANSWER` forwards half of the
    next chunk from the target and then closes the connection.
    """

    NONE = "none"
    CUT = "cut"
    BLACKHOLE = "blackhole"
    ONE_WAY = "one-way"
    HALF_CLOSE = "half-close"
    MID_ANSWER = "mid-answer"


class Rule(NamedTuple):
    """The fault of a link and the delay of each chunk that passes it."""

    fault: Fault = Fault.NONE
    delay_s: float = 0.0


class Proxy:
    """A proxy with many listening addresses, each of which forwards to one target.

    A link is identified by its source and target. Where many sources connect to one address, as
    peers do, the source is read from the first frame of each connection.
    """

    def __init__(self) -> None:
        self._rules: dict[tuple[str, str], Rule] = {}
        self._loop = asyncio.new_event_loop()
        self._link_by_writer: dict[asyncio.StreamWriter, tuple[str, str]] = {}
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def _run_in_loop(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    def via(self, source: str, target: str, address: str) -> str:
        """Return a new listening address that forwards to `address`.

        If the source is empty and the target an entry instance, the source is read from frames.
        """
        return str(self._run_in_loop(self._listen(source, target, address)))

    async def _listen(self, source: str, target: str, address: str) -> str:
        host, _, port = address.rpartition(":")

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(source, target, (host, int(port)), reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return "127.0.0.1:" + str(server.sockets[0].getsockname()[1])

    def set(self, source: str, target: str, rule: Rule) -> None:
        """Set the rule of a link; `*` stands for any source or any target."""
        self._rules[source, target] = rule
        if rule.fault is Fault.CUT:
            self._loop.call_soon_threadsafe(self._close_matching)

    def heal(self) -> None:
        """Remove every rule and close the connections of the links that had a fault."""
        affected = [
            writer
            for writer, link in list(self._link_by_writer.items())
            if self._rule(*link).fault is not Fault.NONE
        ]
        self._rules.clear()
        self._loop.call_soon_threadsafe(lambda: [writer.close() for writer in affected])

    def _close_matching(self) -> None:
        for writer, link in list(self._link_by_writer.items()):
            if self._rule(*link).fault is Fault.CUT:
                writer.close()

    def _rule(self, source: str, target: str) -> Rule:
        for link in ((source, target), (source, "*"), ("*", target)):
            if link in self._rules:
                return self._rules[link]
        return Rule()

    async def _serve(
        self,
        source: str,
        target: str,
        address: tuple[str, int],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        first_chunk = b""
        if not source and target.startswith("entry"):
            first_chunk = await reader.read(_CHUNK_BYTES)
            source = _first_sender(first_chunk)
        if self._rule(source, target).fault is Fault.CUT:
            writer.close()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*address)
        except OSError:
            writer.close()
            return
        link = (source, target)
        self._link_by_writer[writer] = link
        self._link_by_writer[target_writer] = link
        if first_chunk and self._rule(*link).fault in (
            Fault.NONE,
            Fault.HALF_CLOSE,
            Fault.MID_ANSWER,
        ):
            target_writer.write(first_chunk)
        await asyncio.gather(
            self._pump(link, reader, target_writer, writer, True),
            self._pump(link, target_reader, writer, target_writer, False),
            return_exceptions=True,
        )
        self._link_by_writer.pop(writer, None)
        self._link_by_writer.pop(target_writer, None)

    async def _pump(
        self,
        link: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        reverse_writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                rule = self._rule(*link)
                if rule.delay_s:
                    await asyncio.sleep(rule.delay_s)
                if rule.fault is Fault.BLACKHOLE or (rule.fault is Fault.ONE_WAY and to_target):
                    continue
                if rule.fault is Fault.HALF_CLOSE and to_target:
                    writer.write_eof()
                    return
                if rule.fault is Fault.MID_ANSWER and not to_target:
                    writer.write(data[: len(data) // 2])
                    await writer.drain()
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
        reverse_writer.close()


def _first_sender(first_chunk: bytes) -> str:
    try:
        frames = FrameReader().feed(first_chunk)
    except WireError:
        return ""
    return str(frames[0].sender) if frames else ""
