package edge

import (
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// loadView carries the load on a board to peers and back; it implements mesh.Load.
type loadView struct {
	board *place.Board
}

// Describe adds this node's load to a digest.
func (lov loadView) Describe(dig *wire.Digest) {
	for id, inf := range lov.board.Own() {
		lod := &wire.InstanceLoad{Instance: id, Running: uint32(max(0, inf.Running)), Fragile: float32(inf.Fragile)}
		for _, num := range inf.Unread {
			lod.Unread = append(lod.Unread, uint32(max(0, num)))
		}
		dig.Loads = append(dig.Loads, lod)
	}
	for _, plc := range lov.board.Placed() {
		dig.Placements = append(dig.Placements, &wire.Placement{Prefix: plc.Prefix, Instance: plc.Instance})
	}
}

// Learn takes a peer's load.
func (lov loadView) Learn(dig *wire.Digest) {
	infs := make(map[uint64]place.InFlight, len(dig.GetLoads()))
	for _, lod := range dig.GetLoads() {
		inf := place.InFlight{Running: int(lod.GetRunning()), Fragile: float64(lod.GetFragile())}
		for num, val := range lod.GetUnread() {
			if num < place.Tiers {
				inf.Unread[num] = int(val)
			}
		}
		infs[lod.GetInstance()] = inf
	}
	lov.board.Peer(dig.GetNode(), infs)
	pls := make([]place.Placement, 0, len(dig.GetPlacements()))
	for _, plc := range dig.GetPlacements() {
		pls = append(pls, place.Placement{Prefix: plc.GetPrefix(), Instance: plc.GetInstance()})
	}
	lov.board.PeerPlaced(pls)
}

// Lose forgets the load of a peer that is not heard any more.
func (lov loadView) Lose(name string) {
	lov.board.Peer(name, nil)
}
