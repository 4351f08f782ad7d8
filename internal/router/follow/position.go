package follow

// Position is the state of a copy. Versions are comparable within an era only.
type Position struct {
	// Era is the era of the store's versions.
	Era int64
	// LastChange is the version of the newest change that is known, up to Complete.
	LastChange int64
	// DeletionsAfter is the version after which all deletions are known. A record that was created and deleted before may have
	// been missing in a snapshot without being known as deleted.
	DeletionsAfter int64
	// Complete is the version up to which the copy holds all changes.
	Complete int64
}

// Lacks reports whether a copy may lack changes that another one holds or whose effect that one shows: the other one is of a
// later era, or does not know that nothing changed after the version up to which this copy is complete.
func (pos Position) Lacks(oth Position) bool {
	return pos.Era < oth.Era || pos.Era == oth.Era && pos.Complete < oth.newest()
}

// LacksChange reports whether a copy lacks a change that another one is known to hold.
func (pos Position) LacksChange(oth Position) bool {
	return pos.Era < oth.Era || pos.Era == oth.Era && pos.Complete < oth.LastChange
}

// RequiresSnapshot reports whether another copy can be completed from this one by a snapshot only.
func (pos Position) RequiresSnapshot(oth Position) bool {
	return oth.Era != pos.Era || oth.Complete == 0 || oth.Complete < pos.DeletionsAfter
}

// Max returns the position of a copy that holds what the copies at both positions hold, or the one of the later era.
func (pos Position) Max(oth Position) Position {
	if pos.Era != oth.Era {
		if pos.Era < oth.Era {
			return oth
		}
		return pos
	}
	return Position{
		Era: pos.Era, LastChange: max(pos.LastChange, oth.LastChange),
		DeletionsAfter: max(pos.DeletionsAfter, oth.DeletionsAfter), Complete: max(pos.Complete, oth.Complete),
	}
}

// newest returns the newest version at which the copy changed or may have changed.
func (pos Position) newest() int64 {
	return max(pos.LastChange, pos.DeletionsAfter)
}
