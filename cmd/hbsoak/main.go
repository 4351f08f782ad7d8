package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamdyke/hornbeamdyke/internal/soak"
)

type options struct {
	Binary    string        `long:"binary" required:"yes" value-name:"FILE" description:"the product's program"`
	Dir       string        `long:"dir" required:"yes" value-name:"DIR" description:"folder for settings and logs, one below it for each seed"`
	First     uint64        `long:"first" default:"1" description:"first seed"`
	Seeds     uint64        `long:"seeds" default:"1" description:"number of seeds"`
	Parallel  int           `long:"together" default:"1" description:"seeds that run at the same time"`
	Nodes     int           `long:"nodes" default:"4" description:"nodes of a run"`
	Upstreams int           `long:"upstreams" default:"4" description:"upstreams of a run"`
	Callers   int           `long:"callers" default:"12" description:"callers of a run"`
	Faults    time.Duration `long:"faults" default:"10s" description:"how long faults are injected"`
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2)
	}
	if !run(opt) {
		os.Exit(1)
	}
}

// run runs all seeds and reports whether all guarantees held.
func run(opt options) (held bool) {
	held = true
	var mut sync.Mutex
	var wgr sync.WaitGroup
	free := make(chan struct{}, opt.Parallel)
	for num := range opt.Seeds {
		free <- struct{}{}
		wgr.Go(func() {
			defer func() { <-free }()
			txt, ok := runSeed(opt, opt.First+num)
			mut.Lock()
			defer mut.Unlock()
			held = held && ok
			fmt.Println(txt)
		})
	}
	wgr.Wait()
	return held
}

// runSeed runs one seed and returns its report as JSON, or the error that kept it from running.
func runSeed(opt options, seed uint64) (report string, held bool) {
	dir := filepath.Join(opt.Dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err.Error(), false
	}
	rep, err := soak.Run(context.Background(), soak.Options{
		Binary: opt.Binary, Dir: dir, Seed: seed, Nodes: opt.Nodes, Upstreams: opt.Upstreams, Callers: opt.Callers, Faults: opt.Faults,
	})
	if err != nil {
		return err.Error(), false
	}
	txt, err := json.Marshal(rep)
	if err != nil {
		return err.Error(), false
	}
	return string(txt), len(rep.Broken) == 0
}
