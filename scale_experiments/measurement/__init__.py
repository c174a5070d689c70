"""What is measured, and how: processor time, histograms, errors, metrics of sockets."""
