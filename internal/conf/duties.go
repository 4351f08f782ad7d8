package conf

import (
	"slices"
	"strings"
	"time"

	plat "github.com/hornbeamdyke/hornbeamdyke/platform"
)

// reportSlack is how much longer than the lease the time for a usage report must be, so that a new holder can still collect and
// send the report of a window that ended just before the old one failed.
const reportSlack = time.Second

// duties validates the settings of the platform's duty calls, if there are any.
func (chk *checker) duties(dut Duties) {
	if dut.Address == "" {
		return
	}
	const path = "Platform.Duties"
	chk.address(path+".Address", dut.Address)
	for _, knd := range dut.Kinds {
		if !slices.Contains(plat.DutyKinds(), knd) {
			chk.errorf(elementPath(path+".Kinds", knd), "unknown kind %q; %s are known", knd, strings.Join(plat.DutyKinds(), " and "))
		}
	}
	if dut.CallsPerSecond <= 0 {
		chk.errorf(path+".CallsPerSecond", "%g must be above 0", dut.CallsPerSecond)
	}
	chk.positive(path+".Lease", dut.Lease)
	if dut.Thaw < 0 {
		chk.errorf(path+".Thaw", "%s must not be below 0s", dut.Thaw)
	}
	chk.positive(path+".Window", dut.Window)
	if dut.ReportWithin < dut.Lease+reportSlack {
		chk.errorf(path+".ReportWithin", "%s must be at least %s, the lease and a second", dut.ReportWithin, dut.Lease+reportSlack)
	}
	chk.fraction(path+".Tolerance", dut.Tolerance)
}
