"""A stand-in for a runner: a process of its own that the script may kill.

It tells by lines on standard output what it ran, and takes commands by lines on
standard input. Its one argument is a JSON object with its parameters.
"""

import asyncio
import json
import os
import sys
import time

SPEC = json.loads(sys.argv[1])
STATE = {"sequence": 0, "fence": 0, "layers": None, "active": {}, "leaving": False,
         "work_ms": SPEC.get("work_ms", 30), "refuse": None}
BORN = int(time.time() * 1000)


def tell(event, **more):
    sys.stdout.write(json.dumps({"event": event, **more}) + "\n")
    sys.stdout.flush()


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def whole(status, body, headers=""):
    return (f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n").encode() + body


def proof(request):
    leaving = "Server-Leaving: 1\r\n" if STATE["leaving"] and SPEC.get("says_leaving", True) else ""
    return f"Request-Id: {request}\r\nResponse-Stamp: {SPEC['id']}.{request}\r\n{leaving}"


async def serve(reader, writer):
    try:
        while True:
            start, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            method, target, _ = start.split(" ", 2)
            if target == "/v1/report":
                writer.write(whole(200, report()))
            elif target == "/v1/order":
                writer.write(whole(order(json.loads(body)), b""))
            elif target == SPEC.get("health", "/health"):
                writer.write(whole(503 if STATE["leaving"] else 200, b"",
                                   f"Instance-Id: {SPEC['id']}\r\n"))
            elif not await run(method, target, headers, body, reader, writer):
                return
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


def report():
    model = {"name": "m0", "version": 1, "adapters": []}
    if STATE["layers"]:
        model["layers"] = STATE["layers"]
    active = len(STATE["active"])
    return json.dumps({
        "stage": "both", "models": [model] if SPEC.get("card") else [], "busy": False,
        "sequence": STATE["sequence"], "queued": 0, "active": active, "kvUsed": active * 20000,
        "kvTotal": 4000000, "handles": 0, "pace": 1.0, "born": BORN, "type": SPEC.get("card"),
        "stalled": []}).encode()


def order(call):
    if call.get("fencingToken", STATE["fence"]) < STATE["fence"]:
        return 412
    if call.get("expected", STATE["sequence"]) != STATE["sequence"]:
        return 409
    if call.get("operation") != "place":
        return 404
    STATE["fence"] = call.get("fencingToken", STATE["fence"])
    layers = {"from": call["from"], "target": call["target"], "version": 1}
    if STATE["layers"] == layers:
        return 200
    STATE["sequence"] += 1
    STATE["layers"] = layers
    tell("place", layers=layers, sequence=STATE["sequence"])
    return 202


def refusal(request, status, more=""):
    return whole(status, b"", f"Request-Id: {request}\r\nNot-Executed: 1\r\n{more}")


async def run(method, target, headers, body, reader, writer):
    request = headers.get("request-id", "")
    tell("arrival", id=request)
    if headers.get("expect-instance", SPEC["id"]) != SPEC["id"]:
        writer.write(refusal(request, 421, f"At-Server: {ADDRESS}\r\n"))
        return True
    if STATE["refuse"]:
        pause = f"Retry-After: {STATE['refuse']}\r\n"
        await asyncio.sleep(STATE["work_ms"] / 1000)
        writer.write(refusal(request, 503, pause))
        tell("refused", id=request)
        return True
    tell("run", id=request, tenant=headers.get("tenant"), after=headers.get("last-event-id"))
    STATE["active"][request] = True
    try:
        if headers.get("token-count"):
            return await stream(request, headers, reader, writer)
        await asyncio.sleep(STATE["work_ms"] / 1000)
        text = (f"{SPEC['id']} {request} " + "x" * 800)[:800].encode()
        writer.write(whole(200, text, proof(request)))
        tell("answered", id=request)
        return True
    finally:
        STATE["active"].pop(request, None)


async def stream(request, headers, reader, writer):
    """Sends numbered events; without a length the end of the channel ends the answer."""
    count = int(headers["token-count"].split(",")[1]) // 3
    first = int(headers.get("last-event-id") or 0) + 1
    framed = not SPEC.get("unframed")
    coding = "Transfer-Encoding: chunked\r\n" if framed else "Connection: close\r\n"
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{coding}{proof(request)}\r\n"
    writer.write(head.encode())
    for number in range(first, count + 1):
        await asyncio.sleep(SPEC.get("event_ms", 60) / 1000)
        event = f"id: {number}\ndata: {request} {number} of {count}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event) if framed else event)
        await writer.drain()
    if framed:
        writer.write(b"0\r\n\r\n")
    tell("answered", id=request)
    return framed


async def commands():
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while True:
        line = await reader.readline()
        if not line:
            # The script has ended.
            os._exit(0)
        STATE.update(json.loads(line))


async def main():
    global ADDRESS
    server = await asyncio.start_server(serve, SPEC["ip"], SPEC.get("port", 0), backlog=512)
    ADDRESS = "%s:%d" % server.sockets[0].getsockname()
    tell("started", address=server.sockets[0].getsockname(), born=BORN)
    await commands()


asyncio.run(main())
