// Package budget enforces the token budget of a root program and its sub-agents.
//
// Parts of the budget are reserved in the journal in blocks, ahead of the calls
// that spend them, so that a call seldom waits for the store. Each call holds its
// maximum cost before it starts, and is settled at its actual cost. Held and
// spent tokens together never exceed the reservation in the journal, so after a
// crash the reservation bounds what may have been spent.
package budget

// Budget is the budget of one root program, in tokens. It is immutable: each
// change returns a new value.
type Budget struct {
	Limit     int64 // total that the program may spend
	Reserved  int64 // total that the journal allows to be spent
	Requested int64 // reservation being written to the journal, if above Reserved
	Spent     int64
	Held      int64 // by calls in progress
}

// Free returns the tokens that are neither spent nor held, reserved or not.
func (b Budget) Free() int64 { return b.Limit - b.Spent - b.Held }

// Fits reports whether n more tokens are within the journal's reservation.
func (b Budget) Fits(n int64) bool { return b.Spent+b.Held+n <= b.Reserved }

// WithHold returns the budget with n tokens held for a call.
func (b Budget) WithHold(n int64) Budget {
	b.Held += n
	return b
}

// WithSettled returns the budget after the end of a call that held n tokens and
// cost spent.
func (b Budget) WithSettled(n, spent int64) Budget {
	b.Held -= n
	b.Spent += spent
	return b
}

// WithReserved returns the budget after the reservation was committed to the
// journal.
func (b Budget) WithReserved(total int64) Budget {
	b.Reserved = total
	return b
}

// WithRequested returns the budget with a reservation up to total that is being
// written to the journal.
func (b Budget) WithRequested(total int64) Budget {
	b.Requested = total
	return b
}

// NextReservation returns the total to reserve so that n tokens fit and a block
// of tokens remains, or the limit if that is lower. It also reports whether this
// is more than was requested before.
func (b Budget) NextReservation(n, block int64) (total int64, more bool) {
	total = min(b.Limit, b.Spent+b.Held+n+block)
	return total, total > max(b.Requested, b.Reserved)
}

// Recovered returns the budget for a new owner of the shard: the whole
// reservation counts as spent, because the former owner may have spent it
// without a record in the journal.
func (b Budget) Recovered() Budget {
	return Budget{Limit: b.Limit, Reserved: b.Reserved, Requested: b.Reserved, Spent: max(b.Spent, b.Reserved)}
}
