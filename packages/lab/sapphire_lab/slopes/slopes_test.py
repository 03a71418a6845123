import testtools
from testtools import matchers

from sapphire_lab.slopes import capacity
from sapphire_lab.slopes import fit
from sapphire_lab.slopes import repository
from sapphire_lab.slopes import tables


class PageTest(testtools.TestCase):
    def test_tables_of_the_page_are_those_of_the_recorded_slopes(self) -> None:
        record = tables.decode(repository.SLOPES_FILE.read_text())
        page = repository.CAPACITY_PAGE.read_text()
        self.assertThat(
            tables.replace_tables(page, record), matchers.Equals(page)
        )

    def test_altered_table_is_found(self) -> None:
        record = tables.decode(repository.SLOPES_FILE.read_text())
        page = repository.CAPACITY_PAGE.read_text().replace(
            "| fits |", "| good |", 1
        )
        self.assertNotEqual(tables.replace_tables(page, record), page)

    def test_record_survives_the_round_trip(self) -> None:
        text = repository.SLOPES_FILE.read_text()
        self.assertEqual(tables.encode(tables.decode(text)), text)

    def test_recorded_lines_are_the_fit_of_the_recorded_values(self) -> None:
        record = tables.decode(repository.SLOPES_FILE.read_text())
        for slope in record.slopes_by_name.values():
            values = dict(zip(slope.sizes, slope.values, strict=True))
            again = fit.fit_line(slope.name, slope.unit, slope.per, values)
            for one, two in (
                (again.slope, slope.slope),
                (again.intercept, slope.intercept),
                (again.residual, slope.residual),
            ):
                distance = abs(one - two)
                allowed = 1e-3 + 1e-3 * abs(two)
                self.assertThat(distance, matchers.LessThan(allowed))

    def test_each_line_has_a_measured_slope_and_a_limit(self) -> None:
        record = tables.decode(repository.SLOPES_FILE.read_text())
        for line in capacity.COSTS:
            self.assertIn(line.slope, record.slopes_by_name)
            self.assertIn(line.resource, capacity.LIMITS_BY_RESOURCE)


class FitTest(testtools.TestCase):
    def test_points_on_a_line_leave_no_residual(self) -> None:
        slope = fit.fit_line("n", "u", "p", {1.0: 5.0, 2.0: 7.0, 4.0: 11.0})
        self.assertThat(round(slope.slope, 6), matchers.Equals(2.0))
        self.assertThat(round(slope.at(10), 6), matchers.Equals(23.0))
        self.assertThat(slope.residual, matchers.Equals(0.0))

    def test_point_off_the_line_shows_in_the_residual(self) -> None:
        slope = fit.fit_line("n", "u", "p", {1.0: 1.0, 2.0: 4.0, 3.0: 1.0})
        self.assertThat(slope.residual, matchers.GreaterThan(0.4))

    def test_two_sizes_are_too_few(self) -> None:
        self.assertRaises(
            ValueError, fit.fit_line, "n", "u", "p", {1.0: 1.0, 2.0: 2.0}
        )
