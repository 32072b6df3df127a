"""The operators' port: the administration API, behind a bearer token."""

from tornado.web import Application

from wagtailcleat.entry.admin_base import Admin, AdminHandler
from wagtailcleat.entry.admin_changes import (
    ConfigurationHandler,
    ZoneHandler,
    ZoneMoveHandler,
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
    """Every other path."""

    def handle(self) -> None:
        """Answer 404 with what there is."""
        write_refusal(
            self,
            Code.NOT_FOUND,
            "there are /admin/configuration, /admin/zones/ZONE, /admin/nodes,"
            " /admin/teams, /admin/state/NODE and /metrics",
        )

    get = head = post = put = delete = patch = options = handle


def admin_application(admin: Admin) -> Application:
    """Return the operators' port's application."""
    own = {"admin": admin}
    return Application(
        [
            (r"/admin/configuration", ConfigurationHandler, own),
            (r"/admin/zones/([a-z0-9-]+)", ZoneHandler, own),
            (r"/admin/zones/([a-z0-9-]+)/(out|in)", ZoneMoveHandler, own),
            (r"/admin/nodes", NodesHandler, own),
            (r"/admin/teams", TeamsHandler, own),
            (r"/admin/state/([a-z0-9-]+)", StateHandler, own),
            (r"/metrics", MetricsHandler, own),
            (r".*", UnknownHandler, own),
        ],
        log_function=lambda _: None,
    )
