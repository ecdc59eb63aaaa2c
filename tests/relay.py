"""A TCP relay that a test can cut, in place of a network that fails."""

import contextlib
import socket
import socketserver
import threading

CHUNK_BYTES = 65_536


class Relay(contextlib.AbstractContextManager):
    """Passes connections on to one address until it is cut.

    Attributes:
        address: Where it listens.
    """

    def __init__(self, target):
        relay = self
        self._target = target
        self._open = set()
        self._cut = False

        class Serve(socketserver.BaseRequestHandler):

            def handle(self):
                relay.carry(self.request)

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True

        self._server = Server(("127.0.0.1", 0), Serve)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def __enter__(self):
        threading.Thread(target=self._server.serve_forever,
                         args=(0.05,),
                         daemon=True).start()
        return self

    def __exit__(self, *exception):
        self.cut()
        self._server.shutdown()
        self._server.server_close()

    def carry(self, caller):
        """Passes one connection on, both ways, until one side ends."""
        if self._cut:
            return
        host, port = self._target.split(":")
        with contextlib.suppress(OSError), socket.create_connection(
            (host, int(port))) as server:
            self._open |= {caller, server}
            back = threading.Thread(target=_copy,
                                    args=(server, caller),
                                    daemon=True)
            back.start()
            _copy(caller, server)
            back.join()

    def cut(self):
        """Ends all connections, and takes no new one."""
        self._cut = True
        for each in self._open:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
        self._open.clear()

    def mend(self):
        """Passes connections on again."""
        self._cut = False


def _copy(source, sink):
    with contextlib.suppress(OSError):
        while data := source.recv(CHUNK_BYTES):
            sink.sendall(data)
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)
