"""CPU time and memory that one router needs for endpoint lists, measured in this process."""
