"""Programs of a deployment on the platform: entries and agents.

One of the entries is the leader, which places work; each agent controls one worker.
`entry_app` and `agent_app` are the composition roots.
"""
