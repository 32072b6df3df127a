"""Small stand-ins for the platform, used by tests, the demo and the bench."""
