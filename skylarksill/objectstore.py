"""HTTP client of the platform's object API.

The platform numbers all writes with one increasing counter; an object's version is the number of
its last write. Writes are never retried here: after a lost reply the caller reads the object back
before it tries again.
"""

import collections
import dataclasses
import json
import urllib.parse

import urllib3

from skylarksill import records

MAX_VALUE_BYTES = 1_000_000
MUST_NOT_EXIST = 0
CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
WATCH_GRACE_S = 2.0

_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class StoreError(records.SkylarksillError):
    """A call to the store failed.

    Attributes:
      verdict: NOT_RUN if the call had no effect; MAY_HAVE_RUN if a write may have taken effect,
        because its reply was lost.
    """

    def __init__(self, verdict, detail):
        super().__init__(f"{detail} ({verdict.value})")
        self.verdict = verdict


class ConflictError(StoreError):
    """A conditional update found another version; nothing was written.

    Attributes:
      version: The object's current version; 0 if it does not exist.
    """

    def __init__(self, key, version):
        super().__init__(records.Verdict.NOT_RUN, f"object {key!r} has version {version}")
        self.version = version


class MissingError(StoreError):
    """The object does not exist."""

    def __init__(self, key):
        super().__init__(records.Verdict.NOT_RUN, f"object {key!r} does not exist")


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectVersion:
    """An object's key and the version of its last write."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResult:
    """Objects changed after the watched version, and the version for the next watch."""

    version: int
    changes: tuple[ObjectVersion, ...]


class ObjectStore:
    """Calls the platform's object API; each call sends one HTTP request and is counted.

    Args:
      address: IP address and port of the platform.
      client: Name of this host, by which the platform counts calls.
      pool: A urllib3 pool or an object with the same ``urlopen``.

    Attributes:
      calls: Counter of calls by kind: "get", "put", "list" and "watch".
    """

    def __init__(self, address, client, pool=None):
        self._pool = pool or urllib3.HTTPConnectionPool(*address, maxsize=2, block=False)
        self._headers = {"Platform-Client": client}
        self.calls = collections.Counter()

    def get(self, key):
        """Reads an object.

        Returns:
          A pair of version and value, as bytes.
        Raises:
          MissingError: If the object does not exist.
          StoreError: If the call failed.
        """
        response = self._send_read("get", _make_path(key), CALL_TIMEOUT_S)
        if response.status == 404:
            raise MissingError(key)
        _check_status(response, records.Verdict.NOT_RUN)
        return _read_version(response, records.Verdict.NOT_RUN), response.data

    def put(self, key, value, expected_version):
        """Writes an object if its version is ``expected_version``.

        Args:
          key: Name of the object.
          value: Bytes, at most MAX_VALUE_BYTES.
          expected_version: Version that the object must have; MUST_NOT_EXIST for a new object.
        Returns:
          The object's new version.
        Raises:
          ConflictError: If the object has another version.
          StoreError: With NOT_RUN if nothing was written, with MAY_HAVE_RUN if that is unknown.
        """
        if len(value) > MAX_VALUE_BYTES:
            detail = f"value of {len(value)} bytes exceeds {MAX_VALUE_BYTES} bytes"
            raise StoreError(records.Verdict.NOT_RUN, detail)
        headers = {"Expected-Version": str(expected_version)}
        may_have_run = records.Verdict.MAY_HAVE_RUN
        response = self._send(
            "put", "PUT", _make_path(key), CALL_TIMEOUT_S, may_have_run, headers, value
        )
        if response.status == 409:
            raise ConflictError(key, _read_version(response, records.Verdict.NOT_RUN))
        _check_status(response, may_have_run)
        return _read_version(response, may_have_run)

    def list(self, prefixes):
        """Lists the objects whose keys begin with a prefix.

        Args:
          prefixes: Prefix of the keys, or a tuple of prefixes.
        Returns:
          A tuple of ObjectVersion, sorted by key.
        Raises:
          StoreError: If the call failed.
        """
        path = f"/v1/objects?{urllib.parse.urlencode(_make_prefix_parameters(prefixes))}"
        response = self._send_read("list", path, CALL_TIMEOUT_S)
        _check_status(response, records.Verdict.NOT_RUN)
        return _read_changes(response)[1]

    def watch(self, prefixes, after_version, timeout_s):
        """Waits for writes after a version; the whole wait is one call.

        Args:
          prefixes: Prefix of the keys, or a tuple of prefixes.
          after_version: Version of the last write that the caller has seen.
          timeout_s: Longest wait in seconds.
        Returns:
          A WatchResult, without changes if the wait timed out.
        Raises:
          StoreError: If the call failed.
        """
        parameters = _make_prefix_parameters(prefixes)
        parameters += [("after", after_version), ("timeout_ms", int(timeout_s * 1000))]
        path = f"/v1/watch?{urllib.parse.urlencode(parameters)}"
        response = self._send_read("watch", path, timeout_s + WATCH_GRACE_S)
        _check_status(response, records.Verdict.NOT_RUN)
        return WatchResult(*_read_changes(response))

    def _send_read(self, kind, path, timeout_s):
        return self._send(kind, "GET", path, timeout_s, records.Verdict.NOT_RUN, {}, None)

    def _send(self, kind, method, path, timeout_s, verdict_if_lost, headers, body):
        self.calls[kind] += 1
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            return self._pool.urlopen(
                method,
                path,
                body=body,
                headers={**self._headers, **headers},
                retries=False,
                redirect=False,
                timeout=timeout,
            )
        except _CONNECT_ERRORS as error:
            raise StoreError(records.Verdict.NOT_RUN, f"cannot connect: {error}") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(verdict_if_lost, f"no answer to {kind}: {error}") from error


def _make_path(key):
    return "/v1/objects/" + urllib.parse.quote(key)


def _make_prefix_parameters(prefixes):
    prefixes = (prefixes,) if isinstance(prefixes, str) else prefixes
    return [("prefix", prefix) for prefix in prefixes]


def _check_status(response, verdict_if_lost):
    if response.status == 200:
        return
    # A call with a 4xx answer had no effect; after a 5xx answer a write may still take effect.
    verdict = records.Verdict.NOT_RUN if response.status < 500 else verdict_if_lost
    raise StoreError(verdict, f"store answered with status {response.status}")


def _read_version(response, verdict_if_lost):
    try:
        return int(response.headers["Object-Version"])
    except (KeyError, ValueError) as error:
        raise StoreError(verdict_if_lost, "answer has no valid version") from error


def _read_changes(response):
    try:
        answer = json.loads(response.data)
        changes = tuple(
            ObjectVersion(item["key"], int(item["version"])) for item in answer["changes"]
        )
        return int(answer["version"]), changes
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError(records.Verdict.NOT_RUN, f"malformed answer: {error}") from error
