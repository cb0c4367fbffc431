"""Check many runs: python -m histories --runs 200, or --seed N."""

import argparse
import sys

from histories import batch_run
from histories import run


def main() -> int:
    """Print one line of totals; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="histories")
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--seed", type=int, help="replay one seed")
    args = parser.parse_args()
    seeds = [args.seed] if args.seed is not None else range(1, args.runs + 1)
    # Tasks of crashed instances are garbage collected while unfinished.
    sys.unraisablehook = lambda _: None
    totals = dict.fromkeys(
        (
            "runs",
            "faults",
            "calls",
            "samples",
            "batches",
            "results",
            "violations",
        ),
        0,
    )
    for seed in seeds:
        outcome = run.run(run.Plan(seed))
        history = outcome.history
        totals["runs"] += 1
        totals["faults"] += len(history.faults)
        totals["calls"] += history.count_calls()
        totals["samples"] += len(history.deliveries)
        totals["violations"] += len(outcome.violations)
        for text in outcome.violations[:10]:
            names = ",".join(history.faults)
            sys.stdout.write(f"seed={seed} faults={names} {text}\n")
            sys.stdout.flush()
        batches = batch_run.run(seed)
        totals["faults"] += len(batches.history.faults)
        totals["batches"] += len(batches.history.batches)
        totals["results"] += batch_run.count_results(batches.history)
        totals["violations"] += len(batches.violations)
        for text in batches.violations[:10]:
            names = ",".join(batches.history.faults)
            sys.stdout.write(f"batches seed={seed} faults={names} {text}\n")
            sys.stdout.flush()
    sys.stdout.write(
        " ".join(f"{name}={value}" for name, value in totals.items()) + "\n"
    )
    return 1 if totals["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
