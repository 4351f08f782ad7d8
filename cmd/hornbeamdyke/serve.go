package main

import (
	"errors"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/logs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/duty"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/edge"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/node"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	plat "github.com/hornbeamdyke/hornbeamdyke/platform"
)

// envUnprotected is an environment variable that disables the claim of orders, which a node otherwise writes before
// it sends an order (see package order). Fault-injection tests set it to show that the claim prevents double
// execution.
const envUnprotected = "HORNBEAMDYKE_TEST_UNPROTECTED"

// memoryShare is the part of the memory of the process that is set as the soft limit of the Go runtime, near which
// garbage is collected more often. The rest is for sockets.
const memoryShare = 0.8

// dutyStoreTimeout is how long the store's answer about the lease of the duties may take to begin. A slow store takes up to 0.6 s, and
// a renewal that failed must be repeated within the lease.
const dutyStoreTimeout = time.Second

type serveCommand struct {
	documentOptions

	Node  string `long:"node" value-name:"FILE" required:"yes" description:"settings of this node"`
	Debug bool   `long:"debug" description:"log more"`
}

// Execute runs a node until it has stopped. If the settings name a platform, it runs package edge, else package
// node.
func (cmd *serveCommand) Execute([]string) (err error) {
	defer errs.Annotate(&err, "serve")
	set, err := conf.LoadNode(cmd.Node)
	if err != nil {
		return err
	}
	doc, err := cmd.readDocument()
	if err != nil {
		return err
	}
	lvl := slog.LevelInfo
	if cmd.Debug {
		lvl = slog.LevelDebug
	}
	snk := logs.NewSink(os.Stdout)
	defer func() { err = errors.Join(err, snk.Close()) }()
	log := logs.New(snk, lvl).With("Node", set.Name)
	if set.Platform.Store != "" {
		if set.Platform.MemoryMebibytes > 0 {
			debug.SetMemoryLimit(int64(memoryShare * float64(set.Platform.MemoryMebibytes<<20)))
		}
		str := plat.NewStore(set.Platform.Store)
		opt := edge.Options{
			Settings: set,
			Timers:   timer.Real{},
			Log:      log,
			Source:   str,
			Codec:    plat.Codec{},
			Dialect:  plat.Dialect{},
			Reload:   func() (conf.Node, error) { return conf.LoadNode(cmd.Node) },
		}
		if dut := set.Platform.Duties; dut.Address != "" {
			opt.Rows = plat.NewLeases(str, dutyStoreTimeout)
			opt.DutyKinds = edge.DutyKinds{Usage: plat.ReportsUsage(dut.Kinds), Scaling: plat.OrdersServers(dut.Kinds)}
			opt.Duties = plat.NewDuties(dut.Address, dut.CallsPerSecond, duty.CallTimeout)
		}
		return edge.New(opt).Run()
	}
	nod, err := node.New(node.Options{
		Settings:    set,
		File:        cmd.Node,
		Document:    doc,
		Timers:      timer.Real{},
		Log:         log,
		Unprotected: os.Getenv(envUnprotected) != "",
	})
	if err != nil {
		return err
	}
	return nod.Run()
}

// readDocument returns the configuration, or nil if the command line names none.
func (opt documentOptions) readDocument() (doc *conf.Document, err error) {
	if opt.Base == "" {
		return nil, nil
	}
	res, err := conf.ReadDocument(opt.Base, opt.Overlays)
	return &res, err
}
