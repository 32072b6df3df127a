"""The operators' port: what only looks."""

import asyncio
import json
from typing import Any

import msgspec

from wagtailcleat.batch.shards import team_shards
from wagtailcleat.configuration.models import Team
from wagtailcleat.entry.admin_base import AdminHandler, State
from wagtailcleat.entry.context import write_refusal
from wagtailcleat.errors import Code
from wagtailcleat.ids import NodeId, TeamName
from wagtailcleat.wire.jobs import JobAccounts, ListJobs
from wagtailcleat.wire.membership import Member


class NodesHandler(AdminHandler):
    """`/admin/nodes`: every process known, with the revision in force at each."""

    async def get(self) -> None:
        """Answer with one object a process."""
        members = sorted(self.admin.view.live(), key=lambda m: m.node)
        states = await self.admin.states(members, ["revision"])
        nodes = [_node(m, s) for m, s in zip(members, states, strict=True)]
        self.say({"revision": self.admin.in_force.revision, "nodes": nodes})


class TeamsHandler(AdminHandler):
    """`/admin/teams`: each team's quota, and what its running tasks are."""

    async def get(self) -> None:
        """Answer with one object a team."""
        teams = self.admin.in_force.configuration.rules.teams
        answers = await asyncio.gather(*(self._team(team) for team in teams))
        self.say({"teams": answers})

    async def _team(self, team: Team) -> dict[str, Any]:
        jobs = self.admin.jobs
        shards = set(team_shards(team, jobs.shards))
        name = TeamName(team.name)
        answers = await asyncio.gather(
            *(jobs.ask(shard, ListJobs(shard, name)) for shard in shards)
        )
        known = [a for a in answers if isinstance(a, JobAccounts)]
        accounts = [json.loads(text) for answer in known for text in answer.texts]
        shown: dict[str, Any] = msgspec.to_builtins(team)
        return shown | {
            "jobs": len(accounts),
            "tasks_assigned": sum(account["assigned"] for account in accounts),
            "tasks_pending": sum(account["pending"] for account in accounts),
            "shards_not_reached": len(answers) - len(known),
        }


class StateHandler(AdminHandler):
    """`/admin/state/NODE`: the state dump of any process."""

    async def get(self, node: str) -> None:
        """Answer with the dump; `?section=NAME`, repeated, with some of it."""
        sections = self.get_query_arguments("section")
        text = await self.admin.dump(NodeId(node), sections)
        if text is None:
            write_refusal(self, Code.NOT_FOUND, f"'{node}' is not known or not reached")
            return
        self.set_header("Content-Type", "application/json")
        self.finish(text + "\n")


class MetricsHandler(AdminHandler):
    """`/metrics`: counts and latencies in Prometheus' text format."""

    def get(self) -> None:
        """Answer with all metrics of this process."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.admin.introspection.metrics())


def _node(member: Member, state: State | None) -> dict[str, Any]:
    return {
        "node": member.node,
        "role": member.role.value,
        "zone": member.zone,
        "vm": member.vm,
        "state": member.state.value,
        "address": f"{member.host}:{member.port}",
        "services": member.services,
        "shards": member.shards,
        "revision": None if state is None else state["revision"],
    }
