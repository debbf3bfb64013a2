"""A member fails part of its requests; a prepared write runs twice."""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))
import rig  # noqa: E402

# The part of the primary's requests that fail, and for how long.
FAILED_SHARE = 0.3
LASTS_S = 6
SESSIONS = 4
PAUSE_S = 0.04
ADMINISTRATIVE = ("STATUS", "PAUSE", "RESUME", "STEPDOWN")
# The answers that promise that nothing of the attempt is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")


async def work(setting, number, attempts):
    """Prepares a write of its own and runs it, one attempt an item."""
    count = 0
    while not setting.over:
        client = rig.Client(setting.fleet, setting.record, number % 2,
                            "primary", f"client-{number}")
        if not (await client.open()).startswith("READY"):
            await asyncio.sleep(0.1)
            continue
        for _ in range(5):
            count += 1
            item = f"n{number}c{count}"
            await client.ask(f"PREPARE s1 STORE q{number}c{count}")
            answer = await client.ask(f"EXECUTE s1 {item} x")
            attempts[item] = rig.code_of(answer)
            if answer is None:
                break
            await asyncio.sleep(PAUSE_S)
        client.close()


async def case(setting):
    choice = random.Random(7)

    def fail(session, request, text):
        member = session.member
        if text.split(" ")[0] in ADMINISTRATIVE or member.role != "primary":
            return ""
        return "failed" if choice.random() < FAILED_SHARE else ""

    if setting.trouble:
        setting.group.fault = fail
    attempts = {}
    clients = [asyncio.create_task(work(setting, i, attempts))
               for i in range(SESSIONS)]
    await asyncio.sleep(LASTS_S)
    setting.over = True
    await asyncio.gather(*clients)
    setting.group.fault = lambda session, request, text: ""
    await asyncio.sleep(1)
    stored = collections.Counter(
        item for _, _, writes in setting.group.primary().log
        for item, _ in writes)
    twice = [item for item, times in stored.items() if times > 1]
    refused = [item for item, code in attempts.items()
               if code in PROMISES and stored[item] > 0]
    for item in twice:
        setting.record.write(f"{item} was stored {stored[item]} times; its "
                             f"client got {attempts.get(item)}")
    for item in refused:
        setting.record.write(f"{item} was stored; its client got the promise "
                             f"{attempts[item]}")
    if not twice and not refused:
        return ""
    return (f"TWICE, {len(twice)} of {len(attempts)} attempts; "
            f"REFUSED, {len(refused)}")


if __name__ == "__main__":
    rig.main(case, FOLDER)
