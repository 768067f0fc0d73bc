"""Some answers of app servers have no length: they end with the connection."""

# ruff: noqa: D102, PLR2004 (statuses of HTTP)

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

from standins import (
    TROUBLE,
    AppServer,
    CaseCannotRunError,
    Clients,
    Discovery,
    Node,
    Record,
    Run,
    answer_whole,
    main,
    settings,
)

SERVERS = 12
RATE = 60.0  # requests per second
SHARE_WITHOUT_LENGTH = 0.1
SECONDS = 15.0


async def play(record: Record, folder: Path, nodes: list[Node]) -> bool:
    """Play the case and return whether half of the answers without a length were forwarded."""
    chance = random.Random(7)
    without_length: dict[bytes, Run] = {}  # by body, which names the server and the request

    async def answer(server: AppServer, run: Run, writer: asyncio.StreamWriter) -> bool:
        if not TROUBLE or chance.random() >= SHARE_WITHOUT_LENGTH:
            return await answer_whole(server, run, writer)
        body = f"no-length:{server.name}:{run.request_id}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + body)
        await writer.drain()
        without_length[body] = run
        record.add("whole-answer-without-length", server=server.name, id=run.request_id)
        return False  # the connection is closed, which ends the answer: nothing is reset

    servers = [AppServer(index, record, seed=7, answer=answer) for index in range(SERVERS)]
    discovery = Discovery(record)
    await discovery.start()
    for server in servers:
        await server.start()
        discovery.entries[server.name] = server.entry()
    node = Node("n0", folder, record)
    nodes.append(node)
    await node.start(discovery.port, settings(), discovery.whole_list())
    clients = Clients(node, record, RATE, seed=77)
    await clients.send_for(SECONDS)
    await clients.finish()
    if not any(a.status for a in clients.answered) or (TROUBLE and not without_length):
        raise CaseCannotRunError("nothing was answered, or no answer was without a length")
    forwarded = [a for a in clients.answered if a.status == 200 and a.body in without_length]
    lost_orders = {r.request_id for r in without_length.values() if r.class_name == "emitir-factura"}
    told_failed = [a for a in clients.answered if a.request_id in lost_orders and a.status != 200]
    record.add(
        "result",
        answers_without_length=len(without_length),
        forwarded=len(forwarded),
        invoices_issued_and_told_failed=len(told_failed),
        served=sum(a.status == 200 for a in clients.answered),
        sent=len(clients.answered),
    )
    return 2 * len(forwarded) >= len(without_length)


if __name__ == "__main__":
    sys.exit(main(play))
