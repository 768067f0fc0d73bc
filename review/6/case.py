"""Some clients offer, in the first request on a connection, to go on with another protocol."""

# ruff: noqa: D102, PLR2004 (statuses of HTTP)

from __future__ import annotations

import sys
from pathlib import Path

from standins import TROUBLE, AppServer, CaseCannotRunError, Clients, Discovery, Node, Record, main, settings

SERVERS = 12
RATE = 60.0  # requests per second
SECONDS = 15.0
# The offer of HTTP/1.1 that a server may ignore. The client goes on with HTTP/1.1 then.
OFFER = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA")


def offer_in_first(class_name: str, is_first: bool) -> tuple[str, ...]:
    """Return the header lines of the offer for the first request on a connection."""
    return OFFER if is_first and TROUBLE else ()


async def play(record: Record, folder: Path, nodes: list[Node]) -> bool:
    """Play the case and return whether every request reached the app servers with the body that was sent."""
    servers = [AppServer(index, record, seed=6) for index in range(SERVERS)]
    discovery = Discovery(record)
    await discovery.start()
    for server in servers:
        await server.start()
        discovery.entries[server.name] = server.entry()
    node = Node("n0", folder, record)
    nodes.append(node)
    await node.start(discovery.port, settings(), discovery.whole_list())
    clients = Clients(node, record, RATE, seed=66)
    clients.more_lines = offer_in_first
    await clients.send_for(SECONDS)
    await clients.finish()
    if not any(answer.status for answer in clients.answered):
        raise CaseCannotRunError("nothing was answered")
    sent = {answer.request_id: answer for answer in clients.answered}
    changed = [
        run
        for server in servers
        for run in server.runs
        if run.request_id not in sent or run.body != sent[run.request_id].sent_body
    ]
    for run in changed:
        record.add(
            "changed", id=run.request_id, of=run.class_name, sent=212, reached_the_app_server=len(run.body)
        )
    record.add(
        "result",
        ran_with_another_body=len(changed),
        of_these_answered_200=sum(sent[run.request_id].status == 200 for run in changed),
        invoices_among_them=sum(run.class_name == "emitir-factura" for run in changed),
        served=sum(answer.status == 200 for answer in clients.answered),
        sent=len(clients.answered),
    )
    return not changed


if __name__ == "__main__":
    sys.exit(main(play))
