"""An entry instance, which routes callers' requests on the platform, as a process."""
