"""Cases of an independent review; none of them is part of the default test run."""
