"""What endpoint lists cost one router: processor time and memory, in this process."""
