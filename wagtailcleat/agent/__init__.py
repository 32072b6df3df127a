"""The program beside each endpoint VM: `app` wires it.

It runs the VM's service requests and batch attempts, and owns a share of the shards.
"""
