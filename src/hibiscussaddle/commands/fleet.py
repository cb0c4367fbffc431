"""Commands that show the gateways of a fleet and what they run."""

import typing

from hibiscussaddle import codes as result_codes
from hibiscussaddle.commands import console
from hibiscussaddle import gateway_report
from hibiscussaddle import operator_client

Report: typing.TypeAlias = dict[str, typing.Any]


class FleetCommands:
    """Show gateways; the address is the peer address of any of them."""

    def status(self, address: str = "", output: str = "table") -> None:
        """Print the state of one gateway."""
        report = _fetch_report(address)
        for name in ("members", "endpoints", "batches"):
            report[name] = len(report[name])
        report["duties"] = report.get("duties", {}).get("holder")
        console.show(report, output)

    def instances(self, address: str = "", output: str = "table") -> None:
        """List all gateways with the configuration that each one uses."""
        console.show(
            [_to_instance_row(r) for r in _fetch_reports(address)], output
        )

    def endpoints(self, address: str = "", output: str = "table") -> None:
        """List endpoints, their weight versions and why one is unused."""
        console.show(_fetch_report(address)["endpoints"], output)

    def batches(self, address: str = "", output: str = "table") -> None:
        """List the batches that run on any gateway."""
        rows = []
        for report in _fetch_reports(address):
            for batch in report.get("batches", []):
                row = {"owner": report["instance"], **batch}
                del row["groups"]
                rows.append(row)
        console.show(rows, output)

    def batch(
        self, batch_id: str, address: str = "", output: str = "table"
    ) -> None:
        """Show the groups of one running batch."""
        # fire parses ids made of digits as numbers.
        wanted_id = str(batch_id)
        for report in _fetch_reports(address):
            for batch in report.get("batches", []):
                if batch["batch"] == wanted_id:
                    console.show(batch["groups"], output)
                    return
        console.fail(
            result_codes.Refusal(
                result_codes.Code.NOT_FOUND,
                f"batch {wanted_id!r} runs on no reachable gateway",
            )
        )

    def duties(self, address: str = "", output: str = "table") -> None:
        """List which gateway holds the duties, and the usage reports."""
        console.show(
            [_to_duties_row(r) for r in _fetch_reports(address)], output
        )

    def weights(self, address: str = "", output: str = "table") -> None:
        """List the weight version of each engine and the newest one."""
        report = _fetch_report(address)
        newest_versions = report["named_versions"]
        rows = [
            {
                "endpoint": endpoint["endpoint"],
                "model": model,
                "version": version,
                "newest": newest_versions.get(model, version),
            }
            for endpoint in report["endpoints"]
            for model, version in endpoint["versions"].items()
        ]
        console.show(rows, output)


def _fetch_report(address: str) -> Report:
    report: Report = console.call(address, "GET", gateway_report.REPORT_PATH)
    return report


def _fetch_reports(address: str) -> list[Report]:
    """Return a report for each member; unreachable ones are marked so."""
    first = _fetch_report(address)
    reports = [first]
    for member in first["members"]:
        if member["instance"] == first["instance"]:
            continue
        outcome = operator_client.call(
            member["peer_address"], "", "GET", gateway_report.REPORT_PATH
        )
        unreachable_report = {
            "instance": member["instance"],
            "zone": member["zone"],
            "not_ready_because": "unreachable",
        }
        reports.append(outcome.unwrap_or(unreachable_report))
    return sorted(reports, key=lambda report: str(report["instance"]))


def _to_instance_row(report: Report) -> Report:
    return {
        "instance": report["instance"],
        "zone": report["zone"],
        "ready": report["not_ready_because"] or "yes",
        "config_version": report.get("config_version"),
        "store": report.get("store"),
        "reader": report.get("reader"),
        "weight_lease": report.get("holds_weight_lease"),
        "requests": report.get("running_requests"),
        "batches": len(report.get("batches", [])),
    }


def _to_duties_row(report: Report) -> Report:
    duties = report.get("duties") or {}
    usage = duties.get("usage") or {}
    return {
        "instance": report["instance"],
        "holder": duties.get("holder"),
        "fencing_number": duties.get("fencing_number"),
        "reported_through": usage.get("reported_through"),
        "windows_behind": usage.get("windows_behind"),
        "reports_accepted": usage.get("reports_accepted"),
        "calls_failed": usage.get("calls_failed"),
    }
