"""What the stand-ins share: an HTTP/1.1 server over one function, and the line with its address."""

import json
import sys
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

Answer = Callable[[str, str, bytes], tuple[int, Any]]


class Answers(BaseHTTPRequestHandler):
    """Answers each request by a function of method, target and body; status 0 closes unanswered."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    by_function: Answer

    @staticmethod
    def by(function: Answer) -> type["Answers"]:
        return type("Answers", (Answers,), {"by_function": staticmethod(function)})

    def _answer(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        target = self.path
        meant = self.headers.get("Spoolcrank-Expect-Instance")
        if meant:
            target += f"?meant={meant}"
        status, got = self.by_function(self.command, target, body)
        if not status:
            self.close_connection = True
            return
        raw = got if isinstance(got, bytes) else json.dumps(got).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)

    do_GET = do_POST = _answer

    def log_message(self, format: str, *args: Any) -> None:
        """Nothing is logged."""


def announce(server: ThreadingHTTPServer) -> None:
    host, port = server.server_address[:2]
    sys.stdout.write(json.dumps({"listen": f"{host!s}:{port}"}) + "\n")
    sys.stdout.flush()
