package bench

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Point is one measured size with its figures.
type Point struct {
	Size    float64
	Figures []float64
}

// Slope is a series of points and the straight line through them.
type Slope struct {
	Name    string
	Unit    string
	Columns []string
	Points  []Point
}

// Line returns the least-squares intercept and slope of a column.
func (slp Slope) Line(col int) (base, rise float64) {
	num := float64(len(slp.Points))
	var sx, sy, sxx, sxy float64
	for _, pnt := range slp.Points {
		sx += pnt.Size
		sy += pnt.Figures[col]
		sxx += pnt.Size * pnt.Size
		sxy += pnt.Size * pnt.Figures[col]
	}
	rise = (num*sxy - sx*sy) / (num*sxx - sx*sx)
	return (sy - rise*sx) / num, rise
}

// Write prints the points and, for each column, the line.
func (slp Slope) Write(out io.Writer) {
	fmt.Fprintf(out, "\n%s, by %s\n", slp.Name, slp.Unit)
	fmt.Fprintf(out, "%12s  %s\n", slp.Unit, strings.Join(slp.Columns, "  "))
	for _, pnt := range slp.Points {
		fmt.Fprintf(out, "%12g", pnt.Size)
		for idx, val := range pnt.Figures {
			fmt.Fprintf(out, "  %*.2f", len(slp.Columns[idx]), val)
		}
		fmt.Fprintln(out)
	}
	for idx, col := range slp.Columns {
		bas, ris := slp.Line(idx)
		fmt.Fprintf(out, "%12s  %s = %.3f + %.5f x %s\n", "line:", col, bas, ris, slp.Unit)
	}
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var use syscall.Rusage
	// The call fails only for an unknown argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// heap returns the bytes in use on the heap and in stacks after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc + mem.StackInuse)
}

// perCall returns the processor microseconds of one of num calls.
func perCall(num int, call func(idx int)) float64 {
	beg := cpu()
	for idx := range num {
		call(idx)
	}
	return float64((cpu() - beg).Nanoseconds()) / 1e3 / float64(num)
}
