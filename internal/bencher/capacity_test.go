package bencher

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// parseCell returns the number and the unit in a table cell.
func parseCell(t *testing.T, cell string) (float64, string) {
	t.Helper()
	text, unit, _ := strings.Cut(strings.TrimSpace(cell), " ")
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatalf("cell %q: %v", cell, err)
	}
	return x, unit
}

func almostEqual(a, b float64) bool {
	return a > 0.99*b && a < 1.01*b
}

// readPageTable returns the cells of each row of the page's table, without the header.
func readPageTable(t *testing.T) [][]string {
	t.Helper()
	raw, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	var lines [][]string
	for _, line := range strings.Split(string(raw), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) == 10 && !strings.HasPrefix(line, "| ---") && !strings.HasPrefix(line, "| role") {
			lines = append(lines, cells)
		}
	}
	return lines
}

// TestCapacityPageMatchesItsSlopes recomputes each row of the page from its slope and finds rows that the program no
// longer prints.
func TestCapacityPageMatchesItsSlopes(t *testing.T) {
	rows := CapacityRows(UsersTarget(), Slopes{}, FleetSlopes{})
	lines := readPageTable(t)
	if len(lines) != len(rows) {
		t.Fatalf("the page has %d rows, the program prints %d", len(lines), len(rows))
	}
	for n, cells := range lines {
		t.Run(rows[n].Description, func(t *testing.T) { checkLine(t, cells, rows[n]) })
	}
}

func checkLine(t *testing.T, cells []string, row Row) {
	t.Helper()
	if strings.TrimSpace(cells[1]) != row.Role || strings.TrimSpace(cells[2]) != row.Description {
		t.Fatalf("the page has the row %q, the program prints %q", cells[2], row.Description)
	}
	slope, _ := parseCell(t, cells[3])
	count, _ := parseCell(t, cells[4])
	gives, unit := parseCell(t, cells[5])
	limit, _ := parseCell(t, cells[6])
	headRoom, _ := parseCell(t, cells[7])
	if !almostEqual(count, row.Count) || !almostEqual(limit, row.Limit) || unit != row.Unit {
		t.Errorf("count %g and limit %g %s, want %g and %g %s from the target", count, limit, unit, row.Count, row.Limit, row.Unit)
	}
	if !almostEqual(gives, slope*count*row.Scale) || !almostEqual(headRoom, limit/gives) {
		t.Errorf("slope %g times count %g does not give %g, or the head-room is not %g", slope, count, gives, headRoom)
	}
	fits := !strings.HasPrefix(strings.TrimSpace(cells[8]), "does not carry")
	if fits != (headRoom >= 1) {
		t.Errorf("the head-room is %g, but the page names the mechanism %q", headRoom, cells[8])
	}
}
