import json
import sys

import click.testing
import pytest

from hornbeamglade.bench import policyreport
from hornbeamglade.cli import bench
from hornbeamglade.core import codederrors


def _quick(tmp_path, *arguments):
    command = ["policy", "--quick", "--policy", "least-outstanding", *arguments]
    return click.testing.CliRunner().invoke(bench.bench, command)


def test_reports_are_written_read_and_merged(tmp_path):
    out = tmp_path / "report.json"
    result = _quick(tmp_path, "--out", str(out))
    assert result.exit_code == 0, result.output
    assert "| least-outstanding |" in result.output
    merged = policyreport.read([out, out])
    assert len(merged.runs) == 2


def test_runs_of_different_duration_are_not_merged(tmp_path):
    paths = []
    for seconds in (1.0, 2.0):
        paths.append(tmp_path / f"{seconds}.json")
        paths[-1].write_text(json.dumps({"duration_s": seconds, "runs": []}))
    with pytest.raises(codederrors.CodedError, match="report_unreadable"):
        policyreport.read(paths)


def test_a_file_that_is_no_report_is_a_coded_error(tmp_path):
    path = tmp_path / "other.json"
    path.write_text("{}")
    with pytest.raises(codederrors.CodedError, match="report_unreadable"):
        policyreport.read([path])


def test_without_matplotlib_a_plot_is_a_coded_error(tmp_path, monkeypatch):
    monkeypatch.setitem(sys.modules, "matplotlib.figure", None)
    report = policyreport.Report(duration_s=1.0, runs=[])
    with pytest.raises(codederrors.CodedError, match="plot_unavailable"):
        policyreport.plot(report, tmp_path / "plot.png")


def test_malformed_seeds_are_a_coded_error(tmp_path):
    result = click.testing.CliRunner().invoke(bench.bench, ["policy", "--seeds", "a-b"])
    assert isinstance(result.exception, codederrors.CodedError)
