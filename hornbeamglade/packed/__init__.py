"""Starts a program from one file that contains the code of all its modules."""
