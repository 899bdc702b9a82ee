package greengageroute

// StoreRevision is a revision of the platform's store: a version of one era. The store
// begins a new era when it is restored from a copy. Writes after the copy are lost then,
// and their versions are given out again, so that versions of different eras can't be
// compared.
type StoreRevision struct {
	Era     uint64 // 0 if unknown
	Version uint64
}

// Before reports whether the revision comes before another one: in an earlier era, or at
// a lower version of the same era.
func (revision StoreRevision) Before(other StoreRevision) bool {
	if revision.Era != other.Era {
		return revision.Era < other.Era
	}
	return revision.Version < other.Version
}
