"""Runs the project's stand-in of the metadata store as a process of its own.

Prints its address on the first line, and ends with the process that has started it.
"""

import os

import eventlet

from standins import metadatastore


def main():
    store = metadatastore.MetadataStore()
    print(f"{store.address[0]}:{store.address[1]}", flush=True)
    parent = os.getppid()
    while os.getppid() == parent:
        eventlet.sleep(0.5)


if __name__ == "__main__":
    main()
