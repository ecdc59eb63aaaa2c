"""What a node knows of runners, their groups, and the load there."""
