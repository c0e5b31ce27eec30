"""Workers read the bodies of uploads slowly, and clients wait for their answers in vain."""

import pathlib
import socket
import threading
import time

import deployment

UPLOADS = 24
PAUSE_S = 0.4
# Largest body of an upload, its deadline and the time-out of a route of
# `demands/clauseworth-prod-grown.toml`.
BODY_BYTES = 360_000
DEADLINE_MS = 7_660
TIMEOUT_MS = 2_500
# Each request lasts longer than the time-out of its route.
WORK_S = 4.0
# The rule: no final answer this long after the time-out.
SLACK_S = 0.5
# A slow worker reads so many bytes at a time, and pauses after each read.
READ_BYTES = 8_192
READ_PAUSE_S = 0.2
# Links have small windows: segments as on Ethernet, and a small buffer of the reader.
SEGMENT_BYTES = 1_460
WINDOW_BYTES = 4_096


def play(record, has_trouble):
    def run(method, target, headers, body):
        request_id = headers.get(deployment.REQUEST_ID, "")
        deadline_s = int(headers.get(deployment.DEADLINE, "0")) / 1000
        record.write(f"run {request_id}: body of {len(body)} bytes, {deadline_s:.2f} s at its head")
        time.sleep(WORK_S)
        return b"stored"

    read_body = read_slowly if has_trouble else deployment.read_at_once
    system = deployment.Deployment(record)
    try:
        workers = [
            deployment.Worker(record, f"i-{number}", run, read_body, set_small_window)
            for number in range(6)
        ]
        system.start_store()
        route = deployment.make_route("/uploads/", "upload", "library", TIMEOUT_MS, 1000)
        system.write_configuration(7, {"r-upload": route}, ["library"])
        for worker in workers:
            system.write("servers", worker.name, worker.describe("library"))
        system.start_hosts()
        time.sleep(1.0)
        outcomes = []
        threads = []
        for number in range(UPLOADS):
            arguments = (record, system.entry(number % 2), number, outcomes)
            threads.append(threading.Thread(target=send_upload, args=arguments))
            threads[-1].start()
            time.sleep(PAUSE_S)
        for thread in threads:
            thread.join()
    finally:
        system.stop()
    # Requests that were answered before their time-out don't last longer than it.
    longer = [taken_s for taken_s in outcomes if taken_s is None or taken_s > TIMEOUT_MS / 1000]
    late = [
        taken_s for taken_s in longer if taken_s is None or taken_s > TIMEOUT_MS / 1000 + SLACK_S
    ]
    never = sum(taken_s is None for taken_s in longer)
    record.write(
        f"{len(outcomes)} uploads, {len(longer)} lasted longer than their time-out, {len(late)} of"
        f" them without a final answer {SLACK_S} s after it, {never} without any by their deadline"
    )
    if len(longer) < 8:
        raise deployment.CannotRunError("too few requests last longer than their time-out")
    return len(late) < 8 or len(late) <= len(longer) / 4


def set_small_window(listener):
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)


def read_slowly(client, data, size):
    """Reads a body with pauses; returns it and what follows."""
    while len(data) < size:
        time.sleep(READ_PAUSE_S)
        received = client.recv(READ_BYTES)
        if not received:
            raise ConnectionError(f"the sender closed the connection after {len(data)} bytes")
        data += received
    return data[:size], data[size:]


def send_upload(record, address, number, outcomes):
    request_id = f"upload{number:010d}"
    body = bytes([97 + number % 26]) * BODY_BYTES
    message = deployment.format_request("POST", f"/uploads/{number}", request_id, DEADLINE_MS, body)
    taken_s = None
    try:
        with socket.create_connection(address, 1.0) as client:
            client.sendall(message)
            sent_at = time.monotonic()
            record.write(f"sent {request_id}, {len(message)} bytes")
            answer = deployment.AnswerReader(client).read(sent_at + DEADLINE_MS / 1000)
            if answer is not None:
                taken_s = time.monotonic() - sent_at
                record.write(f"answered {request_id}: {answer[0]} after {taken_s:.2f} s")
            else:
                record.write(f"no answer to {request_id} by its deadline; the client leaves")
    except (OSError, EOFError) as error:
        record.write(f"connection of {request_id} ended: {error!r}")
    outcomes.append(taken_s)


if __name__ == "__main__":
    deployment.run_case(pathlib.Path(__file__).parent, play)
