"""Measuring: CPU time, reference work, histograms, standard errors, and metrics of real routers."""
