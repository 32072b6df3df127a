"""Read-only handlers of the operators' port."""

import asyncio
import json
from typing import Any

import msgspec

from wagtailcleat.batch.shards import team_shards
from wagtailcleat.configuration.models import Team
from wagtailcleat.entry.admin_base import AdminHandler, StateDump
from wagtailcleat.entry.context import write_refusal
from wagtailcleat.errors import Code
from wagtailcleat.ids import NodeId, TeamName
from wagtailcleat.wire.jobs import JobAccounts, ListJobs
from wagtailcleat.wire.membership import Member


class NodesHandler(AdminHandler):
    """`/admin/nodes`: the live processes, with the revision in force at each."""

    async def get(self) -> None:
        """Answer with one object for each process."""
        members = sorted(self.admin.view.live(), key=lambda m: m.node)
        dumps = await self.admin.state_dumps(members, ["revision"])
        nodes = [_node_summary(m, dump) for m, dump in zip(members, dumps, strict=True)]
        self.write_json({"revision": self.admin.in_force.revision, "nodes": nodes})


class TeamsHandler(AdminHandler):
    """`/admin/teams`: the quota of each team, and counts of its jobs and tasks."""

    async def get(self) -> None:
        """Answer with one object for each team."""
        teams = self.admin.in_force.configuration.rules.teams
        answers = await asyncio.gather(*(self._team_summary(team) for team in teams))
        self.write_json({"teams": answers})

    async def _team_summary(self, team: Team) -> dict[str, Any]:
        jobs = self.admin.jobs
        shards = set(team_shards(team, jobs.shards))
        name = TeamName(team.name)
        answers = await asyncio.gather(
            *(jobs.call_owner(shard, ListJobs(shard, name)) for shard in shards)
        )
        reached = [a for a in answers if isinstance(a, JobAccounts)]
        accounts = [json.loads(text) for answer in reached for text in answer.texts]
        summary: dict[str, Any] = msgspec.to_builtins(team)
        return summary | {
            "jobs": len(accounts),
            "tasks_assigned": sum(account["assigned"] for account in accounts),
            "tasks_pending": sum(account["pending"] for account in accounts),
            "shards_not_reached": len(answers) - len(reached),
        }


class StateHandler(AdminHandler):
    """`/admin/state/NODE`: the state dump of any process."""

    async def get(self, node: str) -> None:
        """Answer with the dump; only some sections for each `?section=NAME`."""
        sections = self.get_query_arguments("section")
        text = await self.admin.state_dump(NodeId(node), sections)
        if text is None:
            write_refusal(self, Code.NOT_FOUND, f"'{node}' is not known or not reached")
            return
        self.set_header("Content-Type", "application/json")
        self.finish(text + "\n")


class MetricsHandler(AdminHandler):
    """`/metrics`: counts and latencies in the Prometheus text format."""

    def get(self) -> None:
        """Answer with all metrics of this process."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.admin.introspection.metrics())


def _node_summary(member: Member, dump: StateDump | None) -> dict[str, Any]:
    return {
        "node": member.node,
        "role": member.role.value,
        "zone": member.zone,
        "vm": member.vm,
        "state": member.state.value,
        "address": f"{member.host}:{member.port}",
        "services": member.services,
        "shards": member.shards,
        "revision": None if dump is None else dump["revision"],
    }
