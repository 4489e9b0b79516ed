"""Fits lines to the benchmark results at several sizes and prints their slopes. Plots the bytes and the CPU time that the control code
of an instance needs, computed from the slopes, against the size of the fleet.

Needs gnuplot and the benchmarks in build/bin; writes the plots to docs/capacity."""

import json
import os
import subprocess

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
OUT = os.path.join(ROOT, "docs", "capacity")
REPETITIONS = 5


def run_benchmark(name):
    """Runs one benchmark program and returns its median results by family as lists of (size, microseconds, bytes)."""
    command = [
        os.path.join(BIN, name),
        "--benchmark_format=json",
        f"--benchmark_repetitions={REPETITIONS}",
        "--benchmark_report_aggregates_only=true",
        "--benchmark_min_time=0.1",
    ]
    report = json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)
    families = {}
    for row in report["benchmarks"]:
        if row.get("aggregate_name") == "median":
            scale = {"ns": 1e-3, "us": 1.0, "ms": 1e3}[row["time_unit"]]
            families.setdefault(row["name"].split("/")[0], []).append((row["size"], row["cpu_time"] * scale, row.get("bytes")))
    return families


def fit(points):
    """Fits a line by least squares of the relative error, which weights small and large sizes equally.

    Returns the slope, the intercept and the largest relative deviation of a point from the line."""
    weights = [1 / (y * y) for _, y in points]
    total = sum(weights)
    mean_x = sum(w * x for w, (x, _) in zip(weights, points)) / total
    mean_y = sum(w * y for w, (_, y) in zip(weights, points)) / total
    spread = sum(w * (x - mean_x) ** 2 for w, (x, _) in zip(weights, points))
    slope = sum(w * (x - mean_x) * (y - mean_y) for w, (x, y) in zip(weights, points)) / spread
    intercept = mean_y - slope * mean_x
    error = max(abs(intercept + slope * x - y) / y for x, y in points)
    return slope, intercept, error


def print_slopes(families):
    """Fits a line per family and unit, prints it, and returns the slopes."""
    slopes = {}
    for family, rows in families.items():
        for label, column in (("us", 1), ("bytes", 2)):
            points = [(row[0], row[column]) for row in rows if row[column] is not None]
            if len(points) < 3:
                continue
            slope, intercept, error = fit(points)
            slopes[family, label] = slope
            listed = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
            print(f"{family} {label}: {slope:.4g} per unit, {intercept:.4g} fixed, largest deviation {error * 100:.0f}%  ({listed})")
    return slopes


def http_cost():
    """Prints the median round of the comparison of HTTP clients. Returns the CPU time of the backend client in it, in microseconds."""
    lines = subprocess.run([os.path.join(BIN, "HttpClientCost")], capture_output=True, text=True, check=True).stdout.splitlines()
    rounds = sorted([float(field.split("=")[1]) for field in line.split()] for line in lines)
    backend_client, network_access_manager, ratio = rounds[len(rounds) // 2]
    print(f"HttpClientCost: backend client {backend_client} us, QNetworkAccessManager {network_access_manager} us of CPU a request, ratio {ratio}")
    return backend_client


def plot(name, title, y_label, series, bound, bound_label):
    """Plots functions of the number of entry instances, and a constant bound, with gnuplot. series lists (label, function)."""
    os.makedirs(OUT, exist_ok=True)
    data = "\n".join(f"{x} " + " ".join(f"{line(x):.6g}" for _, line in series) for x in [7, 20, 70, 200, 700, 2000, 6800])
    curves = ", ".join(f"$d using 1:{index + 2} with linespoints title '{label}'" for index, (label, _) in enumerate(series))
    script = f"""set terminal svg size 720,420 dynamic
set output '{os.path.join(OUT, name)}'
set title '{title}'
set logscale xy
set xlabel 'entry instances'
set ylabel '{y_label}'
set key left top
set grid
$d << EOD
{data}
EOD
plot [5:8000] {curves}, {bound} with lines dashtype 2 linewidth 2 title '{bound_label}'
"""
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def main():
    slopes = print_slopes({**run_benchmark("KernelBenchmark"), **run_benchmark("ControlBenchmark")})
    http_cost()
    status_bytes = slopes["BM_Statuses", "bytes"]
    status_us = slopes["BM_Statuses", "us"]
    # A fleet of 79,000 servers and 6,800 entry instances in 31 failure domains.
    servers_per_instance = 79_000 / 6_800
    links = lambda n: min(n - 1, 12)  # Outgoing and incoming links together in a fleet too large for a full mesh.
    # Every instance receives every status once per second and forwards it over every link except the one it arrived on.
    flood = lambda n: servers_per_instance * n * status_bytes * max(links(n) - 1, 1) / 1000
    by_domain = lambda n: servers_per_instance * max(n / 31, 1) * status_bytes / 1000
    plot(
        "control-bytes.svg",
        "Statuses of servers: bytes a second sent by an instance",
        "KB a second",
        [("today: all statuses renewed every second", flood), ("once within the domain only", by_domain)],
        18,
        "bound: 18 KB/s",
    )
    topology_us = slopes["BM_TopologyBuild", "us"]
    # Assumes that the topology is built twice a second and that two statuses of each server are processed per second.
    core_percentage = lambda servers: lambda n: 100 * servers(n) * (2 * topology_us + 2 * status_us) / 1e6
    plot(
        "control-cpu.svg",
        "Topology and statuses: share of a core for control",
        "% of a core",
        [
            ("today: every server known to every instance", core_percentage(lambda n: servers_per_instance * n)),
            ("servers of the own domain only", core_percentage(lambda n: servers_per_instance * max(n / 31, 1))),
        ],
        2.1,
        "bound: 2.1%",
    )


if __name__ == "__main__":
    main()
