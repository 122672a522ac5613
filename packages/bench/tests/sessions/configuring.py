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
        deployments.wait_until(
            lambda s=service, t=text: _is_in_force(deployment, s, t)
        )
    entry = deployment.entries[0]
    deployments.wait_until(lambda: has_replicas(deployment, entry))


def _is_in_force(deployment, service, text):
    """Put a document; return whether it is in force.

    Each member has a second to answer. On a machine that is short of
    processor time one may be late, and the document is refused, truly: its
    operator puts it once more.
    """
    answer = put(deployment, service, text, f"first-{service}", 0)
    found = answer.json()
    if found["outcome"] == "in-force":
        return True
    assert found["reason"] == "members-missing", answer.data
    return False


def has_replicas(deployment, entry):
    url = f"{entry.admin_url}/admin/versions/planner-lm"
    found = deployment.http.request("GET", url).json()["replicas"]
    return len(found) == len(deployment.engines) and all(
        one["version"] for one in found
    )
