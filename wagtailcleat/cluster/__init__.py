"""The programs of a deployment on the platform: one entry leads, agents order workers.

`entry_app` and `agent_app` are the composition roots.
"""
