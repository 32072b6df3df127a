"""Adapter to the platform: clients of its services, and the servers that it calls.

Only this package uses the platform's field names and paths; the functions here return
the types of the other packages.
"""
