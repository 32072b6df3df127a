"""Communication between the project's processes: streams, frames and typed messages.

Messages are grouped by conversation; `messages.AnyMessage` is the union of all.
"""
