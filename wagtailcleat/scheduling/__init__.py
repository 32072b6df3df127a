"""The leader's scheduling decisions for jobs of several steps.

Pure state without network access; the present time is passed as an argument. The
leader calls `Scheduler`; `JobTable` holds the state of all jobs, and `PlacementRounds`
decides which task starts on which VM.
"""
