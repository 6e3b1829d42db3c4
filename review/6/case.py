"""A planned restart (SIGTERM) while clients are writing their requests."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import bed2
from bed2 import BROKEN, HELD, CannotRun

CLIENTS = 6
WRITE_TIME = 1.6  # a request "written in 2 s" may take that long; the mixer's own limit is 2 s
PIECES = 16


def unread_bytes(mixer, client):
    """What the mixer's socket of this connection has received and the mixer has not read, from /proc/net/tcp."""

    def as_hex(address):
        ip, port = address
        return "".join(f"{int(part):02X}" for part in reversed(ip.split("."))), f"{port:04X}"

    for swapped in (False, True):
        order = (lambda ip: "".join(reversed([ip[i:i + 2] for i in range(0, 8, 2)]))) if swapped else (lambda ip: ip)
        local, remote = (":".join((order(as_hex(a)[0]), as_hex(a)[1])) for a in (mixer, client))
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file:
                fields = line.split()
                if len(fields) > 4 and fields[1] == local and fields[2] == remote:
                    return int(fields[4].split(":")[1], 16)
    return None


async def client(bed, mixer, number, start_at):
    """A client that keeps its connection: one query at once, then one whose bytes are written evenly over WRITE_TIME.
    Returns whether the second one got a final answer, or None if its connection could not be written to the end."""
    name = f"client {number}"
    reader, writer = await bed2.connect(mixer)
    own, peer = writer.get_extra_info("sockname")[:2], writer.get_extra_info("peername")[:2]
    shards = bed2.equal_shards([number % 12, (number + 5) % 12, (number + 9) % 12])
    writer.write(bed2.query("track-lookup", bed2.TENANTS[0], bed2.new_id(), 5000, shards, "first"))
    status, _ = await asyncio.wait_for(bed2.read_response(reader), 5)
    if status != 200:
        raise CannotRun(f"{name}: the first query of the connection got {status}")
    await asyncio.sleep(max(0.0, start_at - time.time()))
    request_id = bed2.new_id()
    message = bed2.query("track-lookup", bed2.TENANTS[0], request_id, 5000, shards, "second" * 20)
    size = -(-len(message) // PIECES)
    bed.record.write(f"{name}: begins request {request_id} of {len(message)} bytes")
    began = time.time()
    try:
        for piece in range(PIECES):
            writer.write(message[piece * size:(piece + 1) * size])
            await writer.drain()
            if piece == PIECES // 4:
                await asyncio.sleep(0.02)
                unread = unread_bytes(peer, own)
                bed.record.write(f"{name}: of the first {(piece + 1) * size} bytes the mixer has not read {unread}")
                if unread:
                    raise CannotRun(f"{name}: the mixer had not read the begun request")
            next_at = began + (piece + 1) * WRITE_TIME / (PIECES - 1)
            if piece + 1 < PIECES:
                await asyncio.sleep(max(0.0, next_at - time.time()))
    except (OSError, ConnectionError) as error:
        bed.record.write(f"{name}: the connection could not be written to the end: {error}")
        return None
    bed.record.write(f"{name}: last byte of {request_id} written after {time.time() - began:.3f} s")
    try:
        status, body = await asyncio.wait_for(bed2.read_response(reader), 6)
    except (EOFError, OSError) as error:
        bed.record.write(f"{name}: no answer to {request_id}: {error or type(error).__name__}")
        return False
    except asyncio.TimeoutError:
        bed.record.write(f"{name}: no answer to {request_id} within 6 s")
        return False
    finally:
        writer.close()
    bed.record.write(f"{name}: answer {status} to {request_id}: {body[:60]!r}")
    return True


async def case(bed):
    await bed.start_leaves(12, bed2.ZONES, 0.05)
    config = bed.config("n0", bed2.lmla_settings())
    mixer = await bed.start_mixer(config)
    begin = time.time() + 1.5
    # The requests begin 0.6 s to 0.1 s before SIGTERM and end 1.0 s to 1.5 s after it, well before SIGKILL.
    starts = [begin + 0.1 * number for number in range(CLIENTS)]
    clients = [asyncio.ensure_future(client(bed, config["listen"], number, at)) for number, at in enumerate(starts)]
    await asyncio.sleep(max(0.0, begin + 0.6 - time.time()))
    if bed2.TROUBLE:
        bed.record.write("SIGTERM")
        mixer.signal(signal.SIGTERM)
    killed_at = time.time() + 3.0 + 0.7
    results = await asyncio.gather(*clients)
    bed.record.write(f"answered {results.count(True)}, lost {results.count(False)}, not written {results.count(None)}")
    if bed2.TROUBLE:
        await asyncio.sleep(max(0.0, killed_at - time.time()))
        bed.record.write(f"exit code of the mixer before SIGKILL: {mixer.exited()}")
    return BROKEN if False in results else HELD


bed2.run_case(__file__, case)
