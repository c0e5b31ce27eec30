"""Fake of the platform store at the interface of objectstore.ObjectStore, with faults."""

from skylarksill import objectstore, records


class FakeStore:
    """Objects in memory; each put takes the next fault from a list.

    Args:
      faults: Names of faults of the following puts: "ok"; "down", without effect; "lost", takes
        effect without a reply; "dropped", without effect and reply; "late", takes effect without
        a reply, but only after the following put; "rival", another operator writes first.
    """

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.history = []
        self.is_down = False
        self._objects = {}
        self._version = 0
        self._late = []

    def get(self, key):
        """Reads an object."""
        if self.is_down:
            raise objectstore.StoreError(records.Verdict.NOT_RUN, "store is down")
        if key not in self._objects:
            raise objectstore.MissingError(key)
        return self._objects[key]

    def put(self, key, value, expected_version):
        """Writes an object under a condition, or fails as the next fault says."""
        fault = self.faults.pop(0) if self.faults else "ok"
        due, self._late = self._late, []
        lost = objectstore.StoreError(records.Verdict.MAY_HAVE_RUN, "reply lost")
        try:
            match "down" if self.is_down else fault:
                case "ok":
                    return self._write(key, value, expected_version)
                case "down":
                    raise objectstore.StoreError(records.Verdict.NOT_RUN, "store is down")
                case "lost":
                    self._write_quietly(key, value, expected_version)
                    raise lost
                case "dropped":
                    raise lost
                case "late":
                    self._late = [(key, value, expected_version)]
                    raise lost
                case "rival":
                    self.write(key, value.replace(b"write_id = ", b"write_id = rival-"))
                    return self._write(key, value, expected_version)
        finally:
            self._land(due)

    def write(self, key, value):
        """Writes an object without a condition."""
        self._version += 1
        self._objects[key] = (self._version, value)
        self.history.append((key, value))

    def remove(self, key):
        """Removes an object, as a store that loses data does."""
        del self._objects[key]

    def settle(self):
        """Lets the writes land that are still under way."""
        self._land(self._late)
        self._late = []

    def _land(self, writes):
        for write in writes:
            self._write_quietly(*write)

    def _write_quietly(self, key, value, expected_version):
        try:
            self._write(key, value, expected_version)
        except objectstore.ConflictError:
            return

    def _write(self, key, value, expected_version):
        present = self._objects.get(key, (objectstore.MUST_NOT_EXIST, None))[0]
        if present != expected_version:
            raise objectstore.ConflictError(key, present)
        self.write(key, value)
        return self._version
