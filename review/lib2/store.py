"""Runs the project's stand-in of the metadata store as a process of its own.

Prints its address on the first line. With ``--raw TEXT HEX``, the string TEXT is answered as these
bytes, which stands for what another program has written there.
"""

import argparse
import os

import eventlet

from standins import metadatastore


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--raw", nargs=2, metavar=("TEXT", "HEX"))
    arguments = parser.parse_args()
    store = metadatastore.MetadataStore()
    if arguments.raw:
        text, raw = arguments.raw
        store.raw_values[text] = bytes.fromhex(raw)
    print(f"{store.address[0]}:{store.address[1]}", flush=True)
    parent = os.getppid()
    while os.getppid() == parent:
        eventlet.sleep(0.5)


if __name__ == "__main__":
    main()
