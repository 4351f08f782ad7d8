package bench

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Point has the figures measured at one size, one for each column of its Series.
type Point struct {
	Size    float64
	Figures []float64
}

// Series has the measurements of figures that depend on one size. Unit is the unit of the size.
type Series struct {
	Name    string
	Unit    string
	Columns []string
	Points  []Point
}

// FitLine returns the intercept and the slope of a column's least-squares line.
func (srs Series) FitLine(col int) (intercept, slope float64) {
	num := float64(len(srs.Points))
	var sx, sy, sxx, sxy float64
	for _, pnt := range srs.Points {
		sx += pnt.Size
		sy += pnt.Figures[col]
		sxx += pnt.Size * pnt.Size
		sxy += pnt.Size * pnt.Figures[col]
	}
	slope = (num*sxy - sx*sy) / (num*sxx - sx*sx)
	return (sy - slope*sx) / num, slope
}

// Write prints the points as a table and, for each column, the fitted line.
func (srs Series) Write(out io.Writer) {
	fmt.Fprintf(out, "\n%s, by %s\n", srs.Name, srs.Unit)
	fmt.Fprintf(out, "%12s  %s\n", srs.Unit, strings.Join(srs.Columns, "  "))
	for _, pnt := range srs.Points {
		fmt.Fprintf(out, "%12g", pnt.Size)
		for idx, val := range pnt.Figures {
			fmt.Fprintf(out, "  %*.2f", len(srs.Columns[idx]), val)
		}
		fmt.Fprintln(out)
	}
	for idx, col := range srs.Columns {
		itc, slo := srs.FitLine(idx)
		fmt.Fprintf(out, "%12s  %s = %.3f + %.5f x %s\n", "line:", col, itc, slo, srs.Unit)
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var use syscall.Rusage
	// Getrusage fails only for invalid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// memoryInUse returns the bytes in use on the heap and by stacks after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc + mem.StackInuse)
}

// cpuPerCall runs a function num times and returns the mean CPU time of a call in microseconds.
func cpuPerCall(num int, call func(idx int)) float64 {
	beg := cpuTime()
	for idx := range num {
		call(idx)
	}
	return float64((cpuTime() - beg).Nanoseconds()) / 1e3 / float64(num)
}
