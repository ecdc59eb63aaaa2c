"""A WSGI server on a bounded pool of threads, for the operators' port."""

from concurrent import futures
from typing import Any

from werkzeug import serving

THREADS = 4
# A connection that sends nothing must not hold a thread for long: there are
# few, and operators need this port most when something is wrong.
CONNECTION_TIMEOUT_S = 5.0


class Server(serving.BaseWSGIServer):
    """Answers on a few threads; more connections wait their turn."""

    multithread = True

    def __init__(self, host: str, port: int, app: Any) -> None:
        """Listens at once.

        Args:
            host: The IP number.
            port: The port; 0 for any free one.
            app: The WSGI application.
        """
        super().__init__(host, port, app, _Handler)
        self._threads = futures.ThreadPoolExecutor(THREADS, "operator-call")

    def process_request(self, request: Any, client_address: Any) -> None:
        """Hands a connection to a thread of the pool."""
        self._threads.submit(self._process, request, client_address)

    def _process(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            pass  # The operator's side closed the connection.
        finally:
            self.shutdown_request(request)

    def server_close(self) -> None:
        """Stops listening; calls that have begun are finished."""
        super().server_close()
        self._threads.shutdown(cancel_futures=True)


class _Handler(serving.WSGIRequestHandler):
    timeout = CONNECTION_TIMEOUT_S

    def log(self, type: str, message: str, *args: Any) -> None:
        """Stays silent: each call has its own line already."""

    def connection_dropped(self,
                           error: BaseException,
                           environ: Any = None) -> None:
        """Does nothing: an operator that goes away is no news."""
