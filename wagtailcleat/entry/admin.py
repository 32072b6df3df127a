"""The application of the operators' port: the admin API, behind a bearer token."""

from tornado.web import Application

from wagtailcleat.entry.admin_base import AdminContext, AdminHandler
from wagtailcleat.entry.admin_changes import (
    ConfigurationHandler,
    ZoneHandler,
    ZoneOutHandler,
)
from wagtailcleat.entry.admin_views import (
    MetricsHandler,
    NodesHandler,
    StateHandler,
    TeamsHandler,
)
from wagtailcleat.entry.context import write_refusal
from wagtailcleat.errors import Code


class UnknownHandler(AdminHandler):
    """Every path without a handler of its own."""

    def handle(self) -> None:
        """Answer 404 with the paths that exist."""
        write_refusal(
            self,
            Code.NOT_FOUND,
            "there are /admin/configuration, /admin/zones/ZONE, /admin/nodes,"
            " /admin/teams, /admin/state/NODE and /metrics",
        )

    get = head = post = put = delete = patch = options = handle


def admin_application(admin: AdminContext) -> Application:
    """Return the web application of the operators' port."""
    arguments = {"admin": admin}
    return Application(
        [
            (r"/admin/configuration", ConfigurationHandler, arguments),
            (r"/admin/zones/([a-z0-9-]+)", ZoneHandler, arguments),
            (r"/admin/zones/([a-z0-9-]+)/(out|in)", ZoneOutHandler, arguments),
            (r"/admin/nodes", NodesHandler, arguments),
            (r"/admin/teams", TeamsHandler, arguments),
            (r"/admin/state/([a-z0-9-]+)", StateHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
            (r".*", UnknownHandler, arguments),
        ],
        log_function=lambda _: None,
    )
