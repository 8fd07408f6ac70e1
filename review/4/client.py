"""A client that reads its answers slowly: each over a channel of its own with a small window, at a low rate for some seconds, then faster.

Arguments: address and port of the router, number of clients, bytes a second at first, milliseconds until they read faster, bytes a second
from then on, time budget in milliseconds. A line of JSON for each client goes to standard output.
"""
import json, selectors, socket, sys, time

host, port, count, slow_rate, slow_ms, fast_rate, budget_ms = sys.argv[1], *map(int, sys.argv[2:8])
start = time.monotonic()
clients = []
for number in range(count):
    sock = socket.socket()
    # Small windows, as on the links of the users' machines (DEPLOY.md, "Network").
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 256)
    sock.connect((host, port))
    attempt = f"slow{number:04d}"
    sock.sendall(
        (
            f"POST /calls/2f HTTP/1.1\r\nHost: site.example\r\nX-Lynxarch-Attempt-Id: {attempt}\r\n"
            f"X-Lynxarch-Deadline-Ms: {budget_ms}\r\nX-Lynxarch-Model: m\r\nX-Lynxarch-Token-Count: 100,600\r\n"
            f"X-Lynxarch-Prefix-Hash: {number + 1:x}:100\r\nContent-Length: 2\r\n\r\n{{}}"
        ).encode()
    )
    sock.settimeout(0.5)
    clients.append({"id": attempt, "sock": sock, "data": bytearray(), "sent": time.monotonic(), "end": None})
open_clients = list(clients)
last = time.monotonic()
while open_clients and time.monotonic() - start < 20:
    time.sleep(0.05)
    now = time.monotonic()
    rate = slow_rate if (now - start) * 1000 < slow_ms else fast_rate
    amount = max(1, int(rate * (now - last)))
    last = now
    for client in list(open_clients):
        if (now - client["sent"]) * 1000 > budget_ms:
            client["end"] = "time budget"
        else:
            client["sock"].setblocking(False)
            try:
                data = client["sock"].recv(amount)
                client["data"] += data
                if data == b"":
                    client["end"] = "closed"
                elif client["data"].endswith(b"\r\n0\r\n\r\n"):
                    client["end"] = "whole"
            except BlockingIOError:
                continue
            except OSError as error:
                client["end"] = f"reset {error.errno}"
        if client["end"] is not None:
            client["tookMs"] = round((time.monotonic() - client["sent"]) * 1000)
            client["sock"].close()
            open_clients.remove(client)
for client in clients:
    text = client["data"].decode("latin1")
    print(json.dumps({
        "id": client["id"],
        "end": client["end"],
        "tookMs": client.get("tookMs"),
        "bytes": len(client["data"]),
        "events": text.count("\nid: "),
        "status": text[9:12],
    }))
