"""Starting a program from one file that holds the code of all its modules."""
