"""Who is there: gossip, a hint only."""
