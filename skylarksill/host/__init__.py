"""The host program: look-up, entry, dispatch and agent of one host in a single process."""
