"""An HTTP server for tests that writes raw bytes, so that it can violate the protocol."""

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Iterator

from broken_heads import make_described_answer
from head_stops import parse_head_stop

EVENTS = {n: b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6)}
SLOW_EVENT_SECONDS = 0.06
LONG_EVENT_SECONDS = 0.4
BODY_PAUSE_SECONDS = 0.02
BYTE_INTERVAL_SECONDS = 0.2
LARGE_EVENT = b"id: 1\ndata: " + b"x" * 60_000 + b"\n\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Signature: sig\r\n"
MAX_ENDLESS_BYTES = 64 * 1024 * 1024
"""Bytes after which an endless response pauses until its client closes the connection."""
ENDLESS_BLOCK_BYTES = 65536
LARGE_BODY_BYTES = 4 * 1024 * 1024
ENDLESS_PAUSE_SECONDS = 0.001
SEND_BUFFER_BYTES = 65536
NO_SERVER_ID = b"-"
"""Server id in the probes of routers, which a server whose heads stop refuses by a whole head."""
REFUSAL = (
    b"HTTP/1.1 %b X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %b\r\nServer-Limit: 0.01\r\n"
    b"X-Server-Load: 9,9,1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n"
)
STREAM_HEAD = RESPONSE_HEAD + b"Content-Type: text/event-stream\r\n"
ERROR_TEXT = b"out of memory\n\n"
ERROR_WITH_HEAD = b"HTTP/1.1 500 X\nContent-Type: text/plain\n\n" + ERROR_TEXT
HEAD_BEFORE_EVENT = b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\nid: 3\ndata: piece 3\n\n"
VARIED_EVENTS = (
    b": waiting\n\nretry: 100\n\nx-weight-versions: 2\nid: 3\ndata: piece 3\n\n"
    b'id: 4\nevent: piece\ndata: piece 4\ndata\n\nid: 5\ndata: {"a b": 5}\n\ndata: [DONE]\n\n'
)
"""Events that follow the second one of a stream, with all that the format allows beside ids."""


class ScriptedServer:
    """A server that handles every request with the same scripted behaviour.

    Attributes:
        behaviour: Name of the behaviour.
        version: Software version that its events tell; empty for events that tell none.
        connection_count: Number of connections that were opened to it.
        runs: Number of requests that it executed, not counting refused ones.
        requests: Head and body of each request, as received.
        client_closed: Set when a client closed its connection while it waited for the answer.
        address: Host and port of the server; empty before `start`.
        sent_bytes: Bytes of endless responses that the clients' sockets have taken.
        max_endless_bytes: Limit of `sent_bytes`, after which it waits for clients to close.
    """

    def __init__(self, behaviour: str, version: str = "", receive_bytes: int = 0):
        """Creates a server; `start` makes it listen.

        Args:
            behaviour: Name of the behaviour.
            version: See the class.
            receive_bytes: Size that the kernel is asked for as receive buffers; 0 for the usual.
        """
        self._receive_bytes = receive_bytes
        self.behaviour = behaviour
        self.version = version
        self.runs = 0
        self.connection_count = 0
        self.requests: list[tuple[bytes, bytes]] = []
        self.client_closed = asyncio.Event()
        self._told_to_break_off = asyncio.Event()
        self.sent_bytes = 0
        self.max_endless_bytes = MAX_ENDLESS_BYTES
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listens on a loopback port."""
        listener = socket.create_server(("127.0.0.1", 0))
        if self._receive_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes)
        self._server = await asyncio.start_server(self._serve, sock=listener)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        if self.behaviour == "does not listen":
            await self.stop()

    async def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def leave(self) -> None:
        """Stops listening and resets all connections, as the exit of its process does."""
        await self.stop()
        for writer in list(self._writers):
            _reset_connection(writer)

    def break_off(self) -> None:
        """Resets the connections of the behaviours that wait until they are told."""
        self._told_to_break_off.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            headers = dict(line.split(b": ", 1) for line in lines[1:] if b": " in line)
            headers = {name.lower(): value for name, value in headers.items()}
            skip_body = self.behaviour.endswith("before it has read the body")
            body_length = 0 if skip_body else int(headers.get(b"content-length", 0))
            body = await reader.readexactly(body_length)
            if head.startswith(b"OPTIONS ") and self.behaviour != "is silent":
                await self._send(writer, b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                writer.close()
                return
            self.requests.append((head, body))
            attempt_id = headers.get(b"x-attempt-id", b"")
            last_event_id = int(headers.get(b"last-event-id", 0))
            is_probe = headers.get(b"x-expected-instance") == NO_SERVER_ID
            if is_probe and parse_head_stop(self.behaviour, b"", b"") is not None:
                await self._send(writer, b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            else:
                await self._run_behaviour(attempt_id, last_event_id, reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _run_behaviour(self, attempt_id, last_event_id, reader, writer) -> None:
        head = RESPONSE_HEAD % attempt_id
        response = head + b"Content-Length: 5\r\n\r\nhello"
        stream_head = STREAM_HEAD % attempt_id
        chunked_head = stream_head + b"Transfer-Encoding: chunked\r\n\r\n"
        known_events = _make_events(self.version) if self.version else EVENTS
        events = [event for event_id, event in known_events.items() if event_id > last_event_id]
        match self.behaviour:
            case "refuses as full":
                refusal = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                await self._send(writer, refusal)
                return
            case "refuses the named request as full":
                refusal = REFUSAL % (b"503", attempt_id)
                await self._send(writer, refusal)
                return
            case "is another server":
                await self._send(writer, b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                return
        self.runs += 1
        stop = parse_head_stop(self.behaviour, head, stream_head)
        if stop is not None:
            await self._send(writer, stop.sent)
            if stop.is_reset:
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            return
        described = make_described_answer(self.behaviour, attempt_id)
        if described is not None:
            described_head, separator, described_body = described.partition(b"\r\n\r\n")
            await self._send(writer, described_head + separator)
            await asyncio.sleep(BODY_PAUSE_SECONDS)
            await self._send(writer, described_body)
            return
        match self.behaviour:
            case "answers" | "answers before it has read the body":
                await self._send(writer, response)
            case "answers with 128 KiB":
                await self._send(writer, head + _frame_by_length(b"x" * 128 * 1024))
            case "answers with 256 KiB":
                await self._send(writer, head + _frame_by_length(b"x" * 256 * 1024))
            case "answers with 256 KiB in chunks":
                chunks = _encode_chunk(b"x" * 1024) * 256
                await self._send(
                    writer, head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
                )
            case "answers twice":
                await self._send(writer, response + response)
            case "answers in chunks":
                await self._send(
                    writer, head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
                )
            case "answers without a length":
                await self._send(writer, head + b"\r\nhello")
            case "resets an answer without a length":
                await self._send(writer, head + b"\r\nhel")
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "closes an answer without a length":
                await self._send(writer, head + b"\r\nhel")
            case "answers and resets before it has read the body":
                await self._send(writer, head + b"\r\nhel")
                _reset_connection(writer)
            case "answers, ends and resets before it has read the body":
                await self._send(writer, head + b"\r\nhel")
                writer.write_eof()
                await asyncio.sleep(0.02)
                _reset_connection(writer)
            case "answers, ends and drains before it has read the body":
                await self._send(writer, head + b"\r\nhello")
                writer.write_eof()
                await reader.read()
            case "answers and resets when it is told":
                await self._told_to_break_off.wait()
                await self._send(writer, head + b"\r\nhel")
                _reset_connection(writer)
            case "streams and resets when it is told":
                await self._told_to_break_off.wait()
                await self._send(writer, stream_head + b"\r\n" + b"".join(events[:2]))
                _reset_connection(writer)
            case "fails":
                error = b"HTTP/1.1 500 X\r\nX-Attempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
                await self._send(writer, error % attempt_id)
            case "resets":
                _reset_connection(writer)
            case "breaks off in the body":
                await self._send(writer, head + b"Content-Length: 5\r\n\r\nhel")
            case "breaks off in a chunk":
                await self._send(writer, head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel")
            case "answers another request":
                await self._send(
                    writer, RESPONSE_HEAD % b"other" + b"Content-Length: 5\r\n\r\nother"
                )
            case "runs it and repeats an earlier refusal":
                await self._send(writer, REFUSAL % (b"503", b"other") + response)
            case "runs it and repeats an earlier refusal as busy":
                await self._send(writer, REFUSAL % (b"429", b"other") + response)
            case "runs it and repeats an earlier refusal of an address":
                await self._send(writer, REFUSAL % (b"421", b"other") + response)
            case "answers without naming a request":
                await self._send(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            case "sends no HTTP":
                await self._send(writer, b"\x00\x01 what is this\r\n\r\n")
            case "is silent" | "keeps requests":
                await self._wait_for_close(reader)
            case "streams":
                await self._send(
                    writer, chunked_head + _encode_chunk(b"".join(events)) + b"0\r\n\r\n"
                )
            case "streams slowly":
                await self._send(writer, chunked_head)
                for event in events:
                    await self._send(writer, _encode_chunk(event))
                    await asyncio.sleep(SLOW_EVENT_SECONDS)
                await self._send(writer, b"0\r\n\r\n")
            case "streams over two seconds":
                await self._send(writer, chunked_head)
                for event in events:
                    await self._send(writer, _encode_chunk(event))
                    await asyncio.sleep(LONG_EVENT_SECONDS)
                await self._send(writer, b"0\r\n\r\n")
            case "streams until told to break off":
                await self._send(writer, chunked_head + _encode_chunk(b"".join(events[:2])))
                await self._told_to_break_off.wait()
                _reset_connection(writer)
            case "streams without a length":
                await self._send(writer, stream_head + b"\r\n" + b"".join(events))
            case "breaks off after 2 events and a half":
                part = b"".join(events[:2]) + events[2][:8]
                await self._send(writer, chunked_head + _encode_chunk(part))
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "closes after 2 whole events in chunks":
                await self._send(writer, chunked_head + _encode_chunk(b"".join(events[:2])))
                await asyncio.sleep(0.05)
            case "closes a stream without a length after 2 events":
                await self._send(writer, stream_head + b"\r\n" + b"".join(events[:2]))
            case "resets a stream without a length after 2 events":
                await self._send(writer, stream_head + b"\r\n" + b"".join(events[:2]))
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "breaks off after 2 events":
                await self._send(writer, chunked_head + _encode_chunk(b"".join(events[:2])))
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "breaks off after 2 events and half a comment":
                part = b"".join(events[:2]) + b": wai"
                await self._send(writer, chunked_head + _encode_chunk(part))
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "breaks off after 2 events and a half text":
                part = b"".join(events[:2]) + ERROR_TEXT[:9]
                await self._send(writer, chunked_head + _encode_chunk(part))
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "pauses for 2 seconds within its third event":
                part = b"".join(events[:2]) + events[2][:8]
                await self._send(writer, chunked_head + _encode_chunk(part))
                await asyncio.sleep(2.0)
                rest = events[2][8:] + b"".join(events[3:])
                await self._send(writer, _encode_chunk(rest) + b"0\r\n\r\n")
            case "closes after 2 events and a half":
                part = b"".join(events[:2]) + events[2][:8]
                await self._send(writer, stream_head + b"\r\n" + part)
            case "breaks off before its first event":
                await self._send(writer, chunked_head)
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "breaks off within its first event":
                await self._send(writer, chunked_head + _encode_chunk(events[0][:8]))
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "falls silent within its first event":
                await self._send(writer, chunked_head + _encode_chunk(events[0][:8]))
                await self._wait_for_close(reader)
            case "falls silent after 2 events":
                await self._send(writer, chunked_head + _encode_chunk(b"".join(events[:2])))
                await self._wait_for_close(reader)
            case "fails and stops within its body":
                start = head.replace(b"200 OK", b"500 X")
                await self._send(writer, start + b"Content-Length: 10\r\n\r\nout")
                await self._wait_for_close(reader)
            case "streams a text after a pause of 2 seconds":
                await self._send(writer, chunked_head + _encode_chunk(b"".join(events[:2])))
                await asyncio.sleep(2.0)
                rest = ERROR_TEXT + b"".join(events[2:])
                await self._send(writer, _encode_chunk(rest) + b"0\r\n\r\n")
            case "pauses for 1.6 seconds after 2 events":
                await self._send(writer, chunked_head + _encode_chunk(b"".join(events[:2])))
                await asyncio.sleep(1.6)
                await self._send(writer, _encode_chunk(b"".join(events[2:])) + b"0\r\n\r\n")
            case "answers after half a second":
                await asyncio.sleep(0.5)
                await self._send(writer, response)
            case "pauses for 2 seconds after 2 events":
                await self._send(writer, chunked_head + _encode_chunk(b"".join(events[:2])))
                await asyncio.sleep(2.0)
                await self._send(writer, _encode_chunk(b"".join(events[2:])) + b"0\r\n\r\n")
            case "streams its first event after 2 seconds":
                await self._send(writer, chunked_head)
                await asyncio.sleep(2.0)
                await self._send(writer, _encode_chunk(b"".join(events)) + b"0\r\n\r\n")
            case "answers after a second":
                await asyncio.sleep(1.0)
                await self._send(writer, response)
            case "sends a byte now and then after 2 events":
                await self._send(writer, chunked_head + _encode_chunk(b"".join(events[:2])))
                while not reader.at_eof():
                    await asyncio.sleep(BYTE_INTERVAL_SECONDS)
                    await self._send(writer, _encode_chunk(b":"))
            case "falls silent after 2 events without a length":
                await self._send(writer, stream_head + b"\r\n" + b"".join(events[:2]))
                await self._wait_for_close(reader)
            case "streams a large event without a length":
                await self._send(writer, stream_head + b"\r\n" + LARGE_EVENT)
            case "streams without ids or a length":
                await self._send(writer, stream_head + b"\r\n" + _remove_ids(events))
            case "breaks off a stream without ids after 2 events and a half":
                part = _remove_ids(events[:2]) + b"data: pie"
                await self._send(writer, chunked_head + _encode_chunk(part))
                await asyncio.sleep(0.05)
                _reset_connection(writer)
            case "closes an answer with codings on two lines":
                codings = b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n"
                await self._send(writer, head + codings + b"hel")
            case "closes an answer with two codings on one line":
                await self._send(writer, head + b"Transfer-Encoding: chunked, gzip\r\n\r\nhel")
            case "closes an answer with a coding of another name":
                await self._send(writer, head + b"Transfer-Encoding: gzip\r\n\r\nhel")
            case "sends most of a large body and waits":
                size = LARGE_BODY_BYTES
                await self._send(writer, head + b"Content-Length: %d\r\n\r\n" % size)
                await self._send(writer, b"x" * (size - ENDLESS_BLOCK_BYTES))
                await self._wait_for_close(reader)
            case other if answer := _make_rest(other, attempt_id):
                await self._send(writer, answer)
            case other:
                start, units = _make_endless_response(other, head, stream_head)
                await self._send_without_end(reader, writer, start, units)

    async def _send_without_end(self, reader, writer, start, units) -> None:
        """Sends a head and blocks of bytes until the client closes the connection."""
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        try:
            await self._send(writer, start)
            while self.sent_bytes < self.max_endless_bytes:
                block = next(units)
                await self._send(writer, block)
                self.sent_bytes += len(block)
                await asyncio.sleep(ENDLESS_PAUSE_SECONDS)
            await self._wait_for_close(reader)
        except ConnectionError:
            self.client_closed.set()

    async def _wait_for_close(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.client_closed.set()

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset instead of an orderly shutdown."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _make_events(version: str) -> dict[int, bytes]:
    """Returns the events of a stream by id; each tells the version that wrote it."""
    template = b"id: %d\ndata: piece %d\ndata: by %b\n\n"
    return {n: template % (n, n, version.encode()) for n in EVENTS}


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _remove_ids(events: list[bytes]) -> bytes:
    return b"".join(event.partition(b"\n")[2] for event in events)


def _make_rest(behaviour: str, attempt_id: bytes) -> bytes:
    """Returns a whole answer to a caller that has two events; empty for other behaviours."""
    head, stream_head = RESPONSE_HEAD % attempt_id, STREAM_HEAD % attempt_id
    text = b"Content-Type: text/plain\r\n"
    match behaviour:
        case "fails with a text":
            start = head.replace(b"200 OK", b"500 X") + text
            return start + _frame_by_length(ERROR_TEXT)
        case "rejects it with a text":
            start = head.replace(b"200 OK", b"404 X") + text
            return start + _frame_by_length(ERROR_TEXT)
        case "fails with a head in its text":
            start = head.replace(b"200 OK", b"502 X") + text
            return start + _frame_by_length(ERROR_WITH_HEAD)
        case "fails with an event stream":
            start = stream_head.replace(b"200 OK", b"500 X")
            return start + _frame_by_length(b"id: 3\ndata: " + ERROR_TEXT)
        case "answers with a text":
            return head + text + _frame_by_length(ERROR_TEXT)
        case "answers with a text without a type":
            return head + _frame_by_length(ERROR_TEXT)
        case "streams the text of an error":
            return stream_head + _frame_by_length(ERROR_TEXT)
        case "streams the head of an error":
            return stream_head + _frame_by_length(ERROR_WITH_HEAD)
        case "streams a head before its events":
            return stream_head + _frame_by_length(HEAD_BEFORE_EVENT)
        case "streams an object with an error":
            return stream_head + _frame_by_length(b'{"error": "out of memory"}\n\n')
        case "streams a text after an event":
            return stream_head + _frame_by_length(EVENTS[3] + ERROR_TEXT)
        case "streams what events may hold":
            return stream_head + _frame_by_length(VARIED_EVENTS)
        case "streams nothing":
            return stream_head + _frame_by_length(b"")
        case "streams nothing in chunks":
            return stream_head + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        case "streams nothing without a length":
            return stream_head + b"\r\n"
        case "streams only a comment":
            return stream_head + _frame_by_length(b": waiting\n\n")
        case _:
            return b""


def _frame_by_length(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _make_endless_response(
    behaviour: str, head: bytes, stream_head: bytes
) -> tuple[bytes, Iterator[bytes]]:
    """Returns the start of an endless response and the blocks that follow without end."""
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    text = b"x" * ENDLESS_BLOCK_BYTES
    match behaviour:
        case "sends a body without a length and without end":
            return head + b"\r\n", itertools.repeat(text)
        case "sends a body in chunks without end":
            return head + chunked, itertools.repeat(_encode_chunk(text))
        case "sends a body in tiny chunks without end":
            return head + chunked, itertools.repeat(_encode_chunk(b"x") * 8192)
        case "announces a body of a gigabyte":
            return head + b"Content-Length: 1073741824\r\n\r\n", itertools.repeat(text)
        case "fails with a body without end":
            start = head.replace(b"200 OK", b"500 X")
            return start + b"\r\n", itertools.repeat(text)
        case "sends interim heads without end":
            return b"", itertools.repeat(b"HTTP/1.1 103 X\r\n\r\n" * 2048)
        case "sends zero bytes without end":
            return b"", itertools.repeat(bytes(ENDLESS_BLOCK_BYTES))
        case "sends header lines without end":
            return head, itertools.repeat(b"X-Other: x\r\n" * 4096)
        case "sends lines without end":
            return head + b"\r\n", itertools.repeat(
                b'{"result": {}, "other": "%b"}\n' % text[:4096] * 16
            )
        case "sends a chunk extension without end":
            return head + chunked + b"5;", itertools.repeat(text)
        case "sends chunk extensions without end":
            chunk = b"1;" + b"x" * 2048 + b"\r\nx\r\n"
            return head + chunked, itertools.repeat(chunk * 32)
        case "sends trailers without end":
            start = head + chunked + b"5\r\nhello\r\n0\r\n"
            return start, itertools.repeat(b"X-Other: x\r\n" * 4096)
        case "switches protocols and sends without end":
            start = b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"
            return start, itertools.repeat(text)
        case "sends answers without end":
            answer = head + b"Content-Length: 5\r\n\r\nhello"
            return b"", itertools.repeat(answer * 512)
        case "streams chat events without end":
            template = b'id: %d\ndata: {"usage": {"total_tokens": 5}}\n\n'
            return stream_head + chunked, _make_endless_events(template)
        case "streams the same chat event without end":
            event = _encode_chunk(b'id: 1\ndata: {"usage": {"total_tokens": 5}}\n\n')
            return stream_head + chunked, itertools.repeat(event)
        case "streams comments without end":
            return stream_head + chunked, itertools.repeat(_encode_chunk(b": x\n" * 4096))
        case "streams events without end":
            return stream_head + chunked, _make_endless_events(b"id: %d\ndata: more\n\n")
        case "streams the same event without end":
            event = _encode_chunk(b"id: 1\ndata: more\n\n")
            return stream_head + chunked, itertools.repeat(event)
        case "streams events without ids and without end":
            events = _encode_chunk(b"data: more\n\n" * 100)
            return stream_head + chunked, itertools.repeat(events)
        case "streams large events without end":
            template = b"id: %d\ndata: " + text + b"\n\n"
            return stream_head + chunked, _make_endless_events(template)
        case "streams an event without end":
            return stream_head + chunked, itertools.repeat(_encode_chunk(text))
        case other:
            raise ValueError(f"unknown behaviour: {other}")


def _make_endless_events(template: bytes) -> Iterator[bytes]:
    return (_encode_chunk(template % event_id) for event_id in itertools.count(1))
