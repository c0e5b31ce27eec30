"""The host program: lookup, entry, dispatch and agent of one host in a single process."""
