package roster

import (
	"slices"
	"strings"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Listed returns all instances of a service that have a record, the draining ones included, ordered by ID.
func (ros *Roster) Listed(service string) (list []router.Instance) {
	ros.mut.Lock()
	defer ros.mut.Unlock()
	for _, ins := range ros.instances {
		if ins.Service == service {
			list = append(list, ins)
		}
	}
	slices.SortFunc(list, func(one, oth router.Instance) int { return strings.Compare(one.ID, oth.ID) })
	return list
}
