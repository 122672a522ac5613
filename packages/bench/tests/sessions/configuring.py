"""Puts the demo's documents in force in a deployment."""

import deployment as deployments

PLANNER = deployments.render("planner-lm.ini", VERSION="1")
STOPS = deployments.render("stops-app.ini", QUEUE="64")


def put(deployment, service, text, change_id, generation):
    entry = deployment.entries[0]
    query = f"change_id={change_id}&expected_generation={generation}"
    url = f"{entry.admin_url}/admin/services/{service}?{query}"
    return deployment.http.request("PUT", url, body=text, timeout=60)


def configure(deployment):
    for service, text in (("planner-lm", PLANNER), ("stops-app", STOPS)):
        answer = put(deployment, service, text, f"first-{service}", 0)
        assert answer.json()["outcome"] == "in-force", answer.data
    entry = deployment.entries[0]
    deployments.wait_until(lambda: has_replicas(deployment, entry))


def has_replicas(deployment, entry):
    url = f"{entry.admin_url}/admin/versions/planner-lm"
    found = deployment.http.request("GET", url).json()["replicas"]
    return len(found) == len(deployment.engines) and all(
        one["version"] for one in found
    )
