"""The program beside each endpoint VM."""
