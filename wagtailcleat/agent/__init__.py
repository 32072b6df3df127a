"""The agent: the process that runs on each endpoint VM; `app` is its entry point.

It passes service requests to the endpoints of its VM, runs batch attempts through the
worker, and owns a share of the job shards.
"""
