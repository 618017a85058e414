"""An HTTP/1.1 server for the simulated store and runners, and the line that gives its address."""

import json
import sys
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

Answer = Callable[[str, str, bytes], tuple[int, Any]]


class RequestHandler(BaseHTTPRequestHandler):
    """Answer each request with a function of method, target and body.

    Status 0 closes the connection without an answer.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    answer_function: Answer

    @staticmethod
    def with_function(function: Answer) -> type["RequestHandler"]:
        return type(
            "RequestHandler", (RequestHandler,), {"answer_function": staticmethod(function)}
        )

    def _answer(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        target = self.path
        expected_instance = self.headers.get("Spoolcrank-Expect-Instance")
        if expected_instance:
            target += f"?meant={expected_instance}"
        status, content = self.answer_function(self.command, target, body)
        if not status:
            self.close_connection = True
            return
        encoded = content if isinstance(content, bytes) else json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)

    do_GET = do_POST = _answer

    def log_message(self, format: str, *args: Any) -> None:
        """Discard the access log."""


def announce(server: ThreadingHTTPServer) -> None:
    host, port = server.server_address[:2]
    sys.stdout.write(json.dumps({"listen": f"{host!s}:{port}"}) + "\n")
    sys.stdout.flush()
