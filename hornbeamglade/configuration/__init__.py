"""Configuration files of operators, accepted revisions, and how nodes adopt them."""
