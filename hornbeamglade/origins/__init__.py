"""The software versions at which streams began, as known to the instances."""
