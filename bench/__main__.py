"""Run the benchmarks: python -m bench [--quick] [--seed N] [--case NAME]."""

import argparse
import time
import typing

from bench import cases
from bench import fleet
from bench import share_methods

METHODS_CASE: typing.Final = "share_methods"
# Skipped by --quick: together they take half of the time.
SLOW_CASES: typing.Final = {("trainer", "48"), ("overload", "48")}
QUICK_SCALE: typing.Final = 0.4


def main() -> None:
    """Print one key=value line per case, deployment and measure."""
    parser = argparse.ArgumentParser(prog="bench")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--case", choices=[*sorted(cases.REGISTRY), METHODS_CASE]
    )
    parser.add_argument("--deployment")
    args = parser.parse_args()
    scale = QUICK_SCALE if args.quick else 1.0
    print(
        f"seed={args.seed} scale={scale} transport=in_process clock=virtual "
        "baseline=round_robin_fcfs_no_hedging",
        flush=True,
    )
    started = time.perf_counter()
    if args.case in (None, METHODS_CASE):
        for method, (error, waste) in share_methods.measure(args.seed).items():
            print(
                f"case={METHODS_CASE} method={method} "
                f"share_error={error:.4f} wasted_capacity={waste:.4f}"
            )
    names = [args.case] if args.case else list(cases.REGISTRY)
    for name in names:
        if name == METHODS_CASE:
            continue
        for deployment in fleet.DEPLOYMENTS:
            if args.quick and not args.deployment:
                if (name, deployment.name) in SLOW_CASES:
                    print(
                        f"case={name} deployment={deployment.name} "
                        "skipped=quick"
                    )
                    continue
            if args.deployment in (None, deployment.name):
                _print_comparison(name, deployment, args.seed, scale)
    print(f"elapsed_seconds={time.perf_counter() - started:.0f}")


def _print_comparison(
    name: str, deployment: fleet.Deployment, seed: int, scale: float
) -> None:
    baseline = cases.measure(name, deployment, False, seed, scale)
    measures = cases.measure(name, deployment, True, seed, scale)
    for key, value in measures.items():
        ratio = f"{value / baseline[key]:.3f}" if baseline[key] else "none"
        print(
            f"case={name} deployment={deployment.name} measure={key} "
            f"baseline={baseline[key]:.4g} ours={value:.4g} ratio={ratio}",
            flush=True,
        )


if __name__ == "__main__":
    main()
