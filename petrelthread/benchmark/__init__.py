"""In-process benchmarks of a leader's recurring work, by number of machines."""
