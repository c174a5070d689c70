"""A fleet of decision modules in front of modelled cache servers, on a simulated clock."""
