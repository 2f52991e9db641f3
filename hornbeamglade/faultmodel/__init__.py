"""What every party may do by the operators' pages, what plays it, and what holds against it."""
