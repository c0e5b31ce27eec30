"""In-memory fake of objectstore.ObjectStore that injects faults."""

from skylarksill import objectstore, records


class FakeStore:
    """Keeps objects in memory; each put consumes the next fault of a list.

    Args:
      faults: Names of the faults of the next puts: "ok"; "down", has no effect; "lost", takes
        effect without a reply; "dropped", has neither effect nor reply; "late", takes effect
        without a reply, after the next put; "rival", another operator writes first.
    """

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.history = []
        self.is_down = False
        self._objects = {}
        self._version = 0
        self._late_writes = []

    def get(self, key):
        """Reads an object."""
        if self.is_down:
            raise objectstore.StoreError(records.Verdict.NOT_RUN, "store is down")
        if key not in self._objects:
            raise objectstore.MissingError(key)
        return self._objects[key]

    def put(self, key, value, expected_version):
        """Writes an object if its version matches, or fails according to the next fault."""
        fault = self.faults.pop(0) if self.faults else "ok"
        due_writes, self._late_writes = self._late_writes, []
        lost_reply_error = objectstore.StoreError(records.Verdict.MAY_HAVE_RUN, "reply lost")
        try:
            match "down" if self.is_down else fault:
                case "ok":
                    return self._write_if_version(key, value, expected_version)
                case "down":
                    raise objectstore.StoreError(records.Verdict.NOT_RUN, "store is down")
                case "lost":
                    self._write_ignoring_conflict(key, value, expected_version)
                    raise lost_reply_error
                case "dropped":
                    raise lost_reply_error
                case "late":
                    self._late_writes = [(key, value, expected_version)]
                    raise lost_reply_error
                case "rival":
                    self.write(key, value.replace(b"write_id = ", b"write_id = rival-"))
                    return self._write_if_version(key, value, expected_version)
        finally:
            self._apply_writes(due_writes)

    def write(self, key, value):
        """Writes an object without a condition."""
        self._version += 1
        self._objects[key] = (self._version, value)
        self.history.append((key, value))

    def remove(self, key):
        """Removes an object, which simulates data loss in the store."""
        del self._objects[key]

    def apply_late_writes(self):
        """Applies the delayed writes that are still pending."""
        self._apply_writes(self._late_writes)
        self._late_writes = []

    def _apply_writes(self, writes):
        for write in writes:
            self._write_ignoring_conflict(*write)

    def _write_ignoring_conflict(self, key, value, expected_version):
        try:
            self._write_if_version(key, value, expected_version)
        except objectstore.ConflictError:
            return

    def _write_if_version(self, key, value, expected_version):
        present_version = self._objects.get(key, (objectstore.MUST_NOT_EXIST, None))[0]
        if present_version != expected_version:
            raise objectstore.ConflictError(key, present_version)
        self.write(key, value)
        return self._version
