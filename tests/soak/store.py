"""A process that simulates the platform's store: keyed logs over HTTP, with injected faults.

`python -m tests.soak.store` prints its address. POST /faults accepts `busy` (answer 503 to every
request), `slow_s` (delay of every request), `lose` (share of appends that are carried out without
an answer), `hold_s` (delay of the answer after an append is carried out) and `forget` (drop the
history once).
"""

import base64
import json
import random
import struct
import threading
import time
from http.server import ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from tests.soak.web import RequestHandler, announce

NO_ANSWER = (0, b"")
PAGE_SIZE = 500


class Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_retained = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.epoch = -1
        self.first_answers: dict[int, int] = {}


class Store:
    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.topics: dict[str, Topic] = {}
        self.faults: dict[str, Any] = {}
        self.chance = random.Random(1)

    def topic(self, query: dict[str, str]) -> Topic:
        return self.topics.setdefault(query["topic"], Topic())

    def append(self, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        with self.changed:
            topic = self.topic(query)
            end = len(topic.records)
            if "producer" in query:
                early_answer = self._check_fence(topic, int(query["epoch"]), int(query["callSeq"]))
                if early_answer is not None:
                    return early_answer
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            if "producer" in query:
                self._record_sequence(topic, int(query["epoch"]), int(query["callSeq"]), end)
            for frame in _frames(body):
                topic.records.append(frame)
                key = frame[1 : 1 + frame[0]].decode()
                topic.newest[key] = (len(topic.records) - 1, frame[1 + frame[0] :])
            self.changed.notify_all()
            return 200, {"offset": end, "end": len(topic.records)}

    def _check_fence(self, topic: Topic, epoch: int, sequence: int) -> tuple[int, Any] | None:
        if epoch < topic.epoch:
            return 409, {"reason": "fenced"}
        if epoch == topic.epoch:
            if sequence in topic.first_answers:
                return 200, {"offset": topic.first_answers[sequence], "end": len(topic.records)}
            if sequence != max(topic.first_answers) + 1:
                return 409, {"reason": "seq"}
        return None

    def _record_sequence(self, topic: Topic, epoch: int, sequence: int, offset: int) -> None:
        if epoch > topic.epoch:
            topic.epoch, topic.first_answers = epoch, {}
        topic.first_answers[sequence] = offset
        for old in sorted(topic.first_answers)[:-5]:
            del topic.first_answers[old]

    def read(self, query: dict[str, str]) -> tuple[int, Any]:
        begin = int(query["fromRev"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000.0
        max_bytes = int(query.get("max_kb", "1024")) * 1024
        with self.changed:
            topic = self.topic(query)
            while len(topic.records) <= begin and time.monotonic() < until:
                self.changed.wait(max(0.0, until - time.monotonic()))
            if begin < topic.first_retained:
                return 410, {"first": topic.first_retained}
            body = struct.pack(">QQ", len(topic.records), topic.first_retained)
            for frame in topic.records[begin:]:
                if len(body) > max_bytes:
                    break
                body += struct.pack(">I", len(frame)) + frame
            return 200, body

    def list_newest(self, query: dict[str, str]) -> tuple[int, Any]:
        with self.changed:
            topic = self.topic(query)
            keys = sorted(key for key, (_, value) in topic.newest.items() if value)
            keys = [key for key in keys if key > query.get("afterRev", "")]
            items = [
                {
                    "key": key,
                    "offset": topic.newest[key][0],
                    "value": base64.b64encode(topic.newest[key][1]).decode(),
                }
                for key in keys[:PAGE_SIZE]
            ]
            return 200, {"items": items, "more": len(keys) > PAGE_SIZE, "end": len(topic.records)}

    def answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        if url.path == "/faults":
            self._set_faults(json.loads(body))
            return 200, {}
        if self.faults.get("busy") and "mine" not in query:
            return 503, {"error": "try later"}
        time.sleep(self.faults.get("slow_s", 0.0))
        if url.path == "/api/log-append":
            answer_of_append = self.append(query, body)
            if "mine" not in query:
                time.sleep(self.faults.get("hold_s", 0.0))
            is_answer_lost = self.chance.random() < self.faults.get("lose", 0.0)
            return NO_ANSWER if is_answer_lost and "mine" not in query else answer_of_append
        if url.path == "/api/log-read":
            return self.read(query)
        return self.list_newest(query)

    def _set_faults(self, faults: dict[str, Any]) -> None:
        with self.changed:
            if faults.pop("forget", False):
                for topic in self.topics.values():
                    topic.first_retained = len(topic.records)
            self.faults = faults


def _frames(body: bytes) -> list[bytes]:
    frames, at = [], 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        frames.append(body[at + 4 : at + 4 + length])
        at += 4 + length
    return frames


def main() -> None:
    store = Store()
    server = ThreadingHTTPServer(("127.0.0.1", 0), RequestHandler.with_function(store.answer))
    server.daemon_threads = True
    announce(server)
    server.serve_forever()


if __name__ == "__main__":
    main()
