"""HTTP application of the agent for operators: the state dump and the metrics."""

from tornado.web import Application, RequestHandler

from wagtailcleat.introspection import Introspection


class _StateHandler(RequestHandler):
    def initialize(self, introspection: Introspection) -> None:
        self._introspection = introspection

    def get(self) -> None:
        """Answer with the state dump."""
        self.set_header("Content-Type", "application/json")
        self.finish(self._introspection.text() + "\n")


class _MetricsHandler(_StateHandler):
    def get(self) -> None:
        """Answer with all metrics of this process."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._introspection.metrics())


def state_application(introspection: Introspection) -> Application:
    """Return the application that serves `/state` and `/metrics`."""
    arguments = {"introspection": introspection}
    return Application(
        [
            (r"/state", _StateHandler, arguments),
            (r"/metrics", _MetricsHandler, arguments),
        ],
        log_function=lambda _: None,
    )
