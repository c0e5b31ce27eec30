"""What the operator and the upstreams of a run write to the store, and write again after a loss."""

import eventlet

# What a return from an older copy loses is written again within this time.
BACK_AFTER_S = 1.5


class StoreWriter:
    """Writes to the store and knows what has been written.

    Args:
      store: The metadatastore.MetadataStore.
    """

    def __init__(self, store):
        self._store = store
        # Specs by kind and name; None of what was deleted.
        self._written = {}

    def write(self, kind, name, spec):
        """Writes an object."""
        self._written[kind, name] = spec
        self._store.write(kind, name, spec)

    def delete(self, kind, name):
        """Deletes an object, which the store may have lost."""
        self._written[kind, name] = None
        if self._is_outdated(kind, name):
            self._store.delete(kind, name)

    def copy(self):
        """Returns a copy of the store."""
        return self._store.make_copy()

    def return_from_copy(self, older, rng):
        """Has the store return from an older copy, and what it has lost written again.

        Args:
          older: The copy.
          rng: Random generator of the times of the writes.
        Returns:
          The number of objects that the copy holds otherwise.
        """
        self._store.return_from_copy(older)
        lost = [key for key in self._written if self._is_outdated(*key)]
        for key in lost:
            eventlet.spawn_after(rng.uniform(0.0, BACK_AFTER_S), self._write_again, *key)
        return len(lost)

    def _is_outdated(self, kind, name):
        return self._store.read(kind, name) != self._written[kind, name]

    def _write_again(self, kind, name):
        # Its writer may have written something newer meanwhile.
        if not self._is_outdated(kind, name):
            return
        spec = self._written[kind, name]
        if spec is None:
            self._store.delete(kind, name)
        else:
            self._store.write(kind, name, spec)
