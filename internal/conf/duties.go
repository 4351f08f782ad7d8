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

// minLease is the lease that leaves no time for a call: its limit of 1 s, and the 500 ms by which a lease ends early.
const minLease = 1500 * time.Millisecond

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
	if dut.Lease() <= minLease {
		chk.errorf(path+".LeaseMilliseconds", "%g must be above %d, or no call is ever made", dut.LeaseMilliseconds, minLease.Milliseconds())
	}
	if dut.ThawMilliseconds < 0 {
		chk.errorf(path+".ThawMilliseconds", "%g must not be below 0", dut.ThawMilliseconds)
	}
	if dut.WindowSeconds <= 0 {
		chk.errorf(path+".WindowSeconds", "%g must be above 0", dut.WindowSeconds)
	}
	if dut.ReportWithin() < dut.Lease()+reportSlack {
		chk.errorf(path+".ReportWithinSeconds", "%g must be at least %g, the lease and a second", dut.ReportWithinSeconds, (dut.Lease() + reportSlack).Seconds())
	}
	chk.fraction(path+".Tolerance", dut.Tolerance)
}
