"""Stand-ins for all that a controller deals with, and a judge of the rules."""
