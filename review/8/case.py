"""A planned stop cuts off statements that it passed on to a member."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))
import rig  # noqa: E402

GRACE_S = rig.BOUNDS["grace_s"]
# A request that was sent earlier than this may be excused.
EXCUSED_UNTIL_S = 3.0
CLIENTS = 12
STATEMENTS = 12
WORK_S = 0.25
# Clients rest between the statements of a transaction, each in its own way.
SHORTEST_PAUSE_S = 0.12
PAUSE_STEP_S = 0.02


async def work(setting, number, cuts):
    """Transactions, as long as the session lasts."""
    pause_s = SHORTEST_PAUSE_S + PAUSE_STEP_S * number
    client = rig.Client(setting.fleet, setting.record, 0, "primary",
                        f"client-{number}")
    await asyncio.sleep(number * 0.11)
    await client.open()
    sent_at = 0.0
    while not setting.over:
        for text in ["BEGIN", f"STORE i{number} x"] + [f"LOOKUP i{number}"] * (
                STATEMENTS - 3) + ["COMMIT"]:
            sent_at = setting.record.now()
            request = client.send(text)
            answer = await client.answer(request)
            if answer is None:
                cuts.append((request, sent_at))
                return
            await asyncio.sleep(pause_s)
            if not rig.succeeded(answer):
                break
        if answer[-1].split()[1] != "I":
            rollback = client.send("ROLLBACK")
            if await client.answer(rollback) is None:
                return


async def case(setting):
    setting.group.work_s = WORK_S
    cuts = []
    clients = [asyncio.create_task(work(setting, i, cuts))
               for i in range(CLIENTS)]
    await asyncio.sleep(5)
    if not setting.trouble:
        await asyncio.sleep(GRACE_S + 1)
        for task in clients:
            task.cancel()
        return "a session ended" if cuts else ""
    stop = setting.record.now()
    setting.record.write("SIGTERM to the proxy")
    setting.fleet.signal("proxy", 0, signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    setting.fleet.signal("proxy", 0, signal.SIGKILL)
    await asyncio.sleep(1)
    for task in clients:
        task.cancel()
    lost = [(request, sent_at - stop) for request, sent_at in cuts
            if sent_at - stop > EXCUSED_UNTIL_S
            and request in setting.group.seen]
    for request, after in lost:
        setting.record.write(
            f"lost: {request}, sent {after:.3f} s after the SIGTERM, at a "
            f"member {setting.group.seen[request] - stop:.3f} s after it")
    return f"LOST, {len(lost)} requests" if lost else ""


if __name__ == "__main__":
    rig.main(case, FOLDER)
