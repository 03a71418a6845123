import testtools
from testtools import matchers

from sapphire_lab.slopes import capacity
from sapphire_lab.slopes import fit
from sapphire_lab.slopes import repository
from sapphire_lab.slopes import tables


class PageTest(testtools.TestCase):
    def test_tables_on_page_match_recorded_slopes(self) -> None:
        measurement = tables.decode(repository.SLOPES_FILE.read_text())
        page = repository.CAPACITY_PAGE.read_text()
        self.assertThat(
            tables.replace_tables(page, measurement), matchers.Equals(page)
        )

    def test_altered_table_is_detected(self) -> None:
        measurement = tables.decode(repository.SLOPES_FILE.read_text())
        page = repository.CAPACITY_PAGE.read_text().replace(
            "| fits |", "| good |", 1
        )
        self.assertNotEqual(tables.replace_tables(page, measurement), page)

    def test_decoded_record_encodes_to_same_text(self) -> None:
        text = repository.SLOPES_FILE.read_text()
        self.assertEqual(tables.encode(tables.decode(text)), text)

    def test_recorded_lines_fit_recorded_values(self) -> None:
        measurement = tables.decode(repository.SLOPES_FILE.read_text())
        for slope in measurement.slopes_by_name.values():
            values = dict(zip(slope.sizes, slope.values, strict=True))
            refitted = fit.fit_line(slope.name, slope.unit, slope.per, values)
            for fitted, recorded in (
                (refitted.slope, slope.slope),
                (refitted.intercept, slope.intercept),
                (refitted.residual, slope.residual),
            ):
                difference = abs(fitted - recorded)
                tolerance = 1e-3 + 1e-3 * abs(recorded)
                self.assertThat(difference, matchers.LessThan(tolerance))

    def test_each_cost_has_measured_slope_and_limit(self) -> None:
        measurement = tables.decode(repository.SLOPES_FILE.read_text())
        for cost in capacity.COSTS:
            self.assertIn(cost.slope, measurement.slopes_by_name)
            self.assertIn(cost.resource, capacity.LIMITS_BY_RESOURCE)


class FitTest(testtools.TestCase):
    def test_points_on_line_leave_no_residual(self) -> None:
        slope = fit.fit_line("n", "u", "p", {1.0: 5.0, 2.0: 7.0, 4.0: 11.0})
        self.assertThat(round(slope.slope, 6), matchers.Equals(2.0))
        self.assertThat(round(slope.at(10), 6), matchers.Equals(23.0))
        self.assertThat(slope.residual, matchers.Equals(0.0))

    def test_point_off_line_increases_residual(self) -> None:
        slope = fit.fit_line("n", "u", "p", {1.0: 1.0, 2.0: 4.0, 3.0: 1.0})
        self.assertThat(slope.residual, matchers.GreaterThan(0.4))

    def test_two_sizes_are_rejected(self) -> None:
        self.assertRaises(
            ValueError, fit.fit_line, "n", "u", "p", {1.0: 1.0, 2.0: 2.0}
        )
