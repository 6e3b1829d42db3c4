"""A client of the search front."""
import asyncio
import json

from bed import IP, read_response


def search_request(path, body, tenant="ceylon-sound", retry=False):
    mark = "X-Retried: 1\r\n" if retry else ""
    head = (f"POST {path} HTTP/1.1\r\nHost: search\r\nX-Tenant-Id: {tenant}\r\nContent-Type: application/json\r\n"
            f"{mark}Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


async def send(bed, name, request, patience):
    """Sends one request on a new connection and waits for its final answer for `patience` seconds.

    Returns (outcome, status, body): outcome is `answered`, `closed` (the connection ended without a whole answer),
    `silent` (neither), or `refused` (the connection was not accepted).
    """
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(IP, bed.search_port), patience)
    except (OSError, asyncio.TimeoutError):
        bed.record.write(f"{name}: connection not accepted")
        return "refused", None, b""
    writer.write(request)
    await writer.drain()
    sent = bed.record.now()
    line, body = request.split(b"\r\n", 1)[0].decode(), request.split(b"\r\n\r\n", 1)[1]
    bed.record.write(f"{name}: last byte written of {line}, body of {len(body)} bytes: {body[:80]!r}")
    try:
        status, body, _ = await asyncio.wait_for(read_response(reader), patience)
        bed.record.write(f"{name}: answered with {status} after {bed.record.now() - sent:.3f} s: {body[:300].decode()}")
        return "answered", status, body
    except asyncio.TimeoutError:
        bed.record.write(f"{name}: neither answered nor closed within {patience} s")
        return "silent", None, b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        bed.record.write(f"{name}: connection ended without a whole answer after {bed.record.now() - sent:.3f} s: {error!r}")
        return "closed", None, b""
    finally:
        writer.close()


def match_all(size=10):
    return json.dumps({"query": {"match_all": {}}, "size": size}).encode()
