"""Case: answers that have no length and come whole are not forwarded."""

from __future__ import annotations

import asyncio
import sys
from http import HTTPStatus
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common
from common import AppServer, Discovery, Node, Record

ROUNDS = 10
WORK_S = 0.02
PAUSE_S = 0.05
CLASSES = {"consulta-stock": 800, "crear-pedido": 4000, "emitir-factura": 2000}  # with their time in ms
FORWARDED_SHARE = 0.5  # "half at least are forwarded"


async def respond_without_length(
    server: AppServer, request_id: str, head: bytes, writer: asyncio.StreamWriter
) -> None:
    """Answer 200 with a body whose end is the close of the connection, as HTTP/1.1 allows."""
    await server.work()
    writer.write(f"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{request_id} by {server.name}".encode())
    writer.close()  # after the last byte: an end, no reset
    await writer.wait_closed()


async def run(folder: Path, record: Record, nodes: list[Node]) -> bool:
    """Return whether at least half of the requests whose answer came whole were answered with it."""
    respond = respond_without_length if common.TROUBLE else common.serve_200
    servers = [await AppServer(f"s-{number}", record, WORK_S, respond).start() for number in range(4)]
    discovery = await Discovery(servers, record).start()
    node = Node("n0", folder, record)
    nodes.append(node)
    await node.start(discovery, common.settings())
    forwarded, sent = 0, 0
    for name, timeout_ms in list(CLASSES.items()) * ROUNDS:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        request_id, data = common.client_request(name, timeout_ms)
        writer.write(data)
        answer, body = await asyncio.wait_for(common.read_message(reader), 6.0)
        record.write(f"client got {common.status_of(answer)} {body!r} to {request_id} {name}")
        sent += 1
        forwarded += common.status_of(answer) == HTTPStatus.OK and body.startswith(request_id.encode())
        writer.close()
        await asyncio.sleep(PAUSE_S)
    ran = sum(len(server.received) for server in servers)
    record.write(f"{sent} requests ran {ran} times; {forwarded} were answered with the app server's answer")
    return forwarded >= FORWARDED_SHARE * sent


if __name__ == "__main__":
    common.main(run, Path(__file__).resolve().parent)
