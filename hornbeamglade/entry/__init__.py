"""One entry instance on the users' platform, as a process."""
