"""Development scripts: the checks that CI runs, and the demonstration."""
