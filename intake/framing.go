package intake

// framing charges what a chunked body sends beside its bytes to the request's holding.
type framing struct {
	holding *Holding
	before  int64 // received on the connection before the body
	charged int64
}

// newFraming returns the account of a body's framing; one that charges nothing if the body
// has a length or its connection isn't known.
func (holding *Holding) newFraming(announced int64) framing {
	if announced >= 0 || holding.conn == nil {
		return framing{}
	}
	return framing{holding: holding, before: holding.conn.received.Load()}
}

// charge reserves what came beside the given number of the body's bytes.
func (framing *framing) charge(length int64) error {
	if framing.holding == nil {
		return nil
	}
	beside := framing.holding.conn.received.Load() - framing.before - length
	if beside < framing.charged+framingStep {
		return nil
	}
	more := beside - framing.charged
	framing.charged = beside
	return framing.holding.Reserve(more)
}
