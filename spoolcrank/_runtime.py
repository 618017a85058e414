"""Assemble what every daemon shares: event loop, poller, timers, HTTP client and ready line."""

import json
import os
import sys
import threading
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from spoolcrank._dialer import Dialer
from spoolcrank._http import HttpClient
from spoolcrank._timers import Timers
from spoolcrank._web import RequestHandler, WebServer
from spoolcrank.ids import Address

_LOOP_STOP_DELAY_S = 0.02


class posted(Event):
    """Action that another thread passes to the loop: `(action: Callable[[], None],)`."""


class Runtime(BaseComponent):
    """Event loop of a process with its sockets and timers."""

    channel = "runtime"

    def __init__(self) -> None:
        super().__init__()
        self.poller = EPoll().register(self)
        self.timers = Timers().register(self)
        self.dialer = Dialer(self.poller).register(self)
        self.http = HttpClient(self.dialer, self.timers)
        self._stop: Callable[[Callable[[], None]], None] = lambda finish: finish()
        self._stopping = False
        self._ended = threading.Event()

    def serve(self, listen: Address, answer: RequestHandler, channel: str = "web") -> WebServer:
        """Listen on `IP:PORT` for HTTP; each address of a process has its own channel."""
        web: WebServer = WebServer(split_address(listen), answer, self.timers, channel).register(
            self
        )
        return web

    def on_stop(self, stop: Callable[[Callable[[], None]], None]) -> None:
        """Set the action of a planned stop; the loop ends once it calls its argument."""
        self._stop = stop

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, *args: object) -> None:
        self.begin_stop()

    def post(self, action: Callable[[], None]) -> None:
        """Run an action in the loop; this method may be called from any thread."""
        self.fire(posted(action))

    @handler("posted")
    def _on_posted(self, action: Callable[[], None]) -> None:
        action()

    def begin_stop(self) -> None:
        """Start a planned stop; later calls have no effect."""
        if self._stopping:
            return
        self._stopping = True
        self._stop(self._finish)

    def _finish(self) -> None:
        self.timers.after(_LOOP_STOP_DELAY_S, self.stop)

    def run_here(self) -> None:
        """Run the loop until a planned stop has finished."""
        try:
            self.run()
        finally:
            self._ended.set()

    def run_in_thread(self) -> Callable[[], None]:
        """Run the loop in a thread; return a function that stops it and waits up to 20 s."""
        threading.Thread(target=self.run_here, daemon=True).start()

        def stop() -> None:
            self.post(self.begin_stop)
            self._ended.wait(timeout=20)

        return stop


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:PORT` into IP address and port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def address_of_url(url: str) -> Address:
    """Return `IP:PORT` of an http URL or of an address without a scheme."""
    return Address(url.removeprefix("http://").split("/")[0])


def print_ready(**fields: Any) -> None:
    """Print the JSON line that announces that the process is ready to answer."""
    line = {"ready": True, "pid": os.getpid(), **fields}
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()
