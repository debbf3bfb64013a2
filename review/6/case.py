"""A check-in of another writer takes a replica off the list, and a primary that
lacks acknowledged commits is promoted."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))
import rig  # noqa: E402

WRITERS = 4
PAUSE_S = 0.03
# As `replica_lag` of the site file lasts.
DEAF_S = 6.5
CRASH_AFTER_S = 2.0


async def write(setting, number, acknowledged):
    """Writes one item after the other, each once."""
    count = 0
    while not setting.over:
        client = rig.Client(setting.fleet, setting.record, number % 2,
                            "primary", f"writer-{number}")
        try:
            greeting = await client.open()
            while greeting.startswith("READY") and not setting.over:
                count += 1
                item = f"w{number}c{count}"
                answer = await client.ask(f"STORE {item} x", 3)
                if answer is None:
                    break
                if rig.succeeded(answer):
                    acknowledged[item] = setting.record.now()
                await asyncio.sleep(PAUSE_S)
        except (OSError, asyncio.TimeoutError):
            pass
        client.close()
        await asyncio.sleep(0.1)


async def check_in_of_another(setting, member):
    """An entry that names no service of the configuration, at the address of a
    member."""
    body = {"service": "billing", "addr": f"{member.host}:{member.port}",
            "zone": member.zone, "version": "v1", "slots": 2, "state": "ready",
            "warmup_left_ms": 0, "db_role": "replica", "sequence": 1,
            "born": int(time.time() * 1000)}
    status, _, node = await rig.call_control(
        setting.fleet, "POST", "/instances/i-0another00/heartbeat", body)
    setting.record.write(f"check-in of another writer for the address of "
                         f"{member.name()} gets {status} from {node}")


async def case(setting):
    group = setting.group
    primary, holder, behind = group.members
    acknowledged = {}
    writers = [asyncio.create_task(write(setting, i, acknowledged))
               for i in range(WRITERS)]
    await asyncio.sleep(4)
    # "replicas" plays the failure of the replica and of the primary alone.
    if setting.trouble and os.environ.get("TROUBLE") != "replicas":
        await check_in_of_another(setting, holder)
    await asyncio.sleep(4)
    if setting.trouble:
        setting.record.write(f"{behind.name()} receives nothing any more")
        behind.deaf = True
        await asyncio.sleep(CRASH_AFTER_S)
        before = set(acknowledged)
        setting.record.write(f"the primary {primary.name()} crashes")
        primary.crash()
        await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
        behind.deaf = False
        setting.record.write(f"{behind.name()} receives again")
    else:
        before = set(acknowledged)
    await asyncio.sleep(4)
    setting.over = True
    await asyncio.gather(*writers)
    for member, log in group.promotions:
        held = {item for _, _, writes in log for item, _ in writes}
        missing = sorted(before - held, key=acknowledged.get)
        if missing:
            setting.record.write(
                f"{member.name()} was promoted without {len(missing)} "
                f"acknowledged writes: {missing[:5]} ...")
            return f"LOST, {len(missing)} acknowledged writes"
    return ""


if __name__ == "__main__":
    rig.main(case, FOLDER)
