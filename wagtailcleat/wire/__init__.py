"""Communication between the project's processes: streams, frames and typed messages.

Each module of messages covers one protocol; `messages.AnyMessage` is their union.
"""
