"""The operators' platform: its protocol, decoded into the types of this project.

The modules here make no decisions, and no code elsewhere knows the platform's names.
"""
