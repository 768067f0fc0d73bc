"""Case: an app server that left the list while discovery can't be asked still gets requests."""

from __future__ import annotations

import asyncio
import sys
from http import HTTPStatus
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common
from common import AppServer, Discovery, Node, Record

SERVERS = 4  # one of them, a quarter, leaves
CLIENTS = 4
PAUSE_S = 0.05  # between a client's requests
TIMEOUT_MS = 800
ANSWER_S = 5.0
WORK_S = 0.02
QUIET_S = 3.0  # from the start to the trouble
LEAVES_AFTER_S = 0.3  # from the trouble to the change of the list
CROWDED_S = 12.0  # from the start of the trouble
REST_S = 3.0  # after the trouble
SILENCE_TOLD_S = 6.0  # "counts as told at the latest 6 s after it fell silent"
GRACE_S = 1.0 + 0.05  # DrainGrace; on sockets "every time limit is longer by 50 ms"


async def client(node: Node, record: Record, stop_at: float) -> int:
    """Send requests, one at a time, and return the number of answers 200."""
    served = 0
    while record.now() < stop_at:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        try:
            while record.now() < stop_at and not reader.at_eof():
                request_id, data = common.client_request("consulta-stock", TIMEOUT_MS)
                writer.write(data)
                head, _ = await asyncio.wait_for(common.read_message(reader), ANSWER_S)
                record.write(f"client got {common.status_of(head)} to {request_id}")
                served += common.status_of(head) == HTTPStatus.OK
                await asyncio.sleep(PAUSE_S)
        except (OSError, asyncio.IncompleteReadError) as error:  # a TimeoutError is an OSError
            record.write(f"client got no answer to {request_id}: {error!r}")  # not what this case checks
        finally:
            writer.close()
    return served


async def run(folder: Path, record: Record, nodes: list[Node]) -> bool:
    """Return whether the app server that left got nothing new after the grace."""
    servers = [await AppServer(f"s-{number}", record, WORK_S).start() for number in range(SERVERS)]
    discovery = await Discovery(servers, record).start()
    node = Node("n0", folder, record)
    nodes.append(node)
    await node.start(discovery, common.settings())
    stop_at = record.now() + QUIET_S + CROWDED_S + REST_S
    clients = [asyncio.create_task(client(node, record, stop_at)) for _ in range(CLIENTS)]
    await asyncio.sleep(QUIET_S)
    if common.TROUBLE:
        discovery.silence_watches()
        discovery.crowded = True
        record.write("the open watch falls silent, and discovery is crowded: each call fails after 2 s")
    silent_at = record.now()
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = servers[-1]
    discovery.change(leaving.entry(lifecycle="left"))
    await asyncio.sleep(CROWDED_S - LEAVES_AFTER_S)
    discovery.crowded = False
    record.write("discovery is not crowded any more")
    served = sum(await asyncio.gather(*clients))
    told_at = discovery.told.get(discovery.generation, stop_at)
    if common.TROUBLE:
        told_at = min(told_at, silent_at + SILENCE_TOLD_S)
    late = [at for at, _, _ in leaving.received if at > told_at + GRACE_S]
    record.write(
        f"told at {told_at:.3f}, grace ends at {told_at + GRACE_S:.3f}; after that {leaving.name} got "
        f"{len(late)} requests, the last at {max(late, default=0.0):.3f}; {served} answers 200 in all"
    )
    if not served:
        raise common.CouldNotRunError("no request was served")
    return not late


if __name__ == "__main__":
    common.main(run, Path(__file__).resolve().parent)
