"""Each fault at each step of a call must break no promise.

It guards against calls that are lost, run twice, answered with the answer of another
call or reported wrongly, tickets that revert, calls to leaving instances and calls
interrupted by a planned stop.
"""

import pytest

from tests.faults import cells, fault_table, matrix_page, steps

CELLS = [
    pytest.param(
        fault,
        step,
        matrix_page.choose_subject(row, column),
        id=f"{matrix_page.name_cell(row, column)} {fault.name}, {step.name}",
    )
    for row, fault in enumerate(fault_table.FAULTS)
    for column, step in enumerate(steps.STEPS)
]


@pytest.mark.parametrize(("fault", "step", "subject"), CELLS)
def test_fault_at_step(
    fault: fault_table.Fault, step: steps.Step, subject: str
) -> None:
    """Run the cell and expect no broken promise."""
    assert cells.run_cell(fault, step, subject) == []
