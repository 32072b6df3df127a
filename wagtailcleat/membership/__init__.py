"""Cluster membership by gossip: eventually consistent, never authoritative."""
