"""Hostile clients in a process of their own: ``crowd_2.py ADDRESS KIND COUNT SECONDS``.

KIND is the size of the chunks, or ``whole`` for a body with a length. Each client
sends one POST with nearly all of a body of the legal size, stops just short of the
end and keeps the connection open. One that was closed by the gateway comes again.
Together the clients of two such processes send less than the link carries.
"""

import os
import selectors
import socket
import sys
import time

BODY_BYTES = 4_194_304
PIECE_BYTES = 131_072
# A link of 1,000 Mbit/s carries 125 MB/s; a case runs two of these processes.
MAX_BYTES_PER_S = 50_000_000
HEAD = (
    b'POST /permit-issue/2f HTTP/1.1\r\nHost: desk.example\r\n'
    b'Bramleybeam-Request-Id: h%d-%d\r\n'
    b'Bramleybeam-Request-Deadline: 4000\r\n'
)


def make_piece(kind):
    if kind == 'whole':
        return b'x' * PIECE_BYTES
    size = int(kind)
    chunk = b'%x\r\n%s\r\n' % (size, b'x' * size)
    return chunk * (PIECE_BYTES // len(chunk))


class Client:
    """One connection: what is left of its head, and of its body."""

    def __init__(self, address, kind, number):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)
        framing = (
            b'Content-Length: %d\r\n\r\n' % BODY_BYTES
            if kind == 'whole'
            else b'Transfer-Encoding: chunked\r\n\r\n'
        )
        self.head = HEAD % (os.getpid(), number) + framing
        size = int(kind) if kind != 'whole' else 1
        framing_bytes = len(b'%x' % size) + 4 if kind != 'whole' else 0
        total = BODY_BYTES // size * (size + framing_bytes)
        # Just short of the end.
        self.left = total - (size + framing_bytes)
        self.offset = 0

    def write(self, piece):
        """Write once; return the bytes written, 0 when nothing is left."""
        if self.head:
            sent = self.sock.send(self.head)
            self.head = self.head[sent:]
            return sent
        if not self.left:
            return 0
        end = min(len(piece), self.offset + self.left)
        sent = self.sock.send(memoryview(piece)[self.offset : end])
        self.left -= sent
        self.offset = (self.offset + sent) % len(piece)
        return sent


def main():
    host, _, port = sys.argv[1].rpartition(':')
    address = (host, int(port))
    kind, count, seconds = sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    piece = make_piece(kind)
    selector = selectors.DefaultSelector()
    number = closed = sent_bytes = 0
    both = selectors.EVENT_READ | selectors.EVENT_WRITE

    def begin():
        nonlocal number
        number += 1
        client = Client(address, kind, number)
        selector.register(client.sock, both, client)

    began = time.monotonic()
    for _ in range(count):
        begin()
    while time.monotonic() - began < seconds:
        for key, events in selector.select(0.05):
            client = key.data
            try:
                if events & selectors.EVENT_READ and not client.sock.recv(65536):
                    raise ConnectionError
                if events & selectors.EVENT_WRITE:
                    written = client.write(piece)
                    sent_bytes += written
                    if not written:
                        selector.modify(
                            client.sock, selectors.EVENT_READ, client
                        )
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(client.sock)
                client.sock.close()
                closed += 1
                begin()
        ahead = sent_bytes / MAX_BYTES_PER_S - (time.monotonic() - began)
        if ahead > 0:
            time.sleep(ahead)
    print(f'connections {number}, closed {closed}, bytes {sent_bytes}')


main()
