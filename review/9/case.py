"""A configuration that lowers a service's connections ends a proxy, where
sessions belong to customers."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))
import rig  # noqa: E402

CUSTOMERS = 24
CLIENTS = 40
# As a member of louvrecraft-config-grown has.
SLOTS = 4
WORK_S = 0.015
MANY_CONNECTIONS = 20
FEW_CONNECTIONS = 6
CHANGES = 30
GAP_S = 1.0
SETTLED_S = 4.0


def configuration(version, connections):
    made = rig.configuration(version, max_connections=connections)
    made["tenants"] = [{"name": f"t{i}", "api_keys": [f"k{i}"],
                        "priority": i % 3} for i in range(CUSTOMERS)]
    return made


async def work(setting, number, cuts):
    """Sessions of some statements each, for one customer after the other."""
    choice = random.Random(number)
    while not setting.over:
        client = rig.Client(setting.fleet, setting.record, number % 2,
                            choice.choice(["primary", "bounded", "session"]),
                            f"client-{number}")
        try:
            greeting = await client.open(f"k{choice.randrange(CUSTOMERS)}")
            for _ in range(20):
                if setting.over or not greeting.startswith("READY"):
                    break
                request = client.send(choice.choice(
                    [f"STORE i{number} x", "LOOKUP i1", "LOOKUP i2"]))
                answer = await client.answer(request, 3)
                if answer is None:
                    cuts.append((setting.record.now(), number % 2, request))
                    break
                await asyncio.sleep(choice.uniform(0, 0.03))
        except (OSError, asyncio.TimeoutError):
            pass
        client.close()
        await asyncio.sleep(0.02)


async def case(setting):
    setting.group.slots = SLOTS
    setting.group.work_s = WORK_S
    cuts = []
    clients = [asyncio.create_task(work(setting, i, cuts))
               for i in range(CLIENTS)]
    await asyncio.sleep(SETTLED_S)
    earlier = len(cuts)
    ended = []
    for i in range(CHANGES):
        if setting.trouble:
            few = i % 2 == 0
            await setting.fleet.put(configuration(
                2 + i, FEW_CONNECTIONS if few else MANY_CONNECTIONS))
        await asyncio.sleep(GAP_S)
        ended = list(setting.fleet.exits)
        if ended:
            break
    setting.over = True
    await asyncio.gather(*clients)
    passed_on = [cut for cut in cuts[earlier:] if cut[2] in setting.group.seen]
    setting.record.write(f"connections cut under a request: {earlier} in "
                         f"{SETTLED_S} s before the changes; {len(cuts)} in "
                         f"all, {len(passed_on)} of them at a member")
    if not ended or not passed_on:
        return ""
    return (f"LOST, {len(passed_on)} requests; a process ended by itself: "
            f"{ended[0][0]} with {ended[0][1]}")


if __name__ == "__main__":
    rig.main(case, FOLDER, configuration=configuration(1, MANY_CONNECTIONS))
