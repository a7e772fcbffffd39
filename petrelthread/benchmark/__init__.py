"""What a leader's decisions cost by the number of machines, measured in this process."""
