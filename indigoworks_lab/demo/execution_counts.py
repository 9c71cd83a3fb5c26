"""How often each request ran, from the histories of the back ends."""

from collections import Counter

from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.demo.demo_context import DemoContext


async def execution_counts(context: DemoContext) -> Counter[str]:
    """Return the number of runs by request id, over all back ends that answer."""
    counts: Counter[str] = Counter()
    for server in context.plan.servers:
        answer = await context.client.get(server.http, "/lab/history")
        if answer.status != 200:
            continue
        for record in answer.body["records"]:
            if record["outcome"] == ExecutionOutcome.APPLIED:
                counts[record["request_id"]] += 1
    return counts
