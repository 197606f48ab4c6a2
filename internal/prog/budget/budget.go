// Package budget keeps a program family from spending beyond its tokens.
//
// A budget is reserved from the journal in blocks, ahead of the calls that
// spend it, so that a call seldom waits for the store. Each call holds the
// most that it can cost before it starts, and settles for what it did cost.
// Held and spent tokens together never pass what the journal has reserved, so
// after a crash the reserved tokens bound what may have been spent.
package budget

// Budget is the account of one root program, in tokens. It is a value: each
// change returns a new one.
type Budget struct {
	Limit     int64 // what the program may spend in its life
	Reserved  int64 // what the journal says may be spent
	Requested int64 // the reservation that waits for the journal, if above Reserved
	Spent     int64
	Held      int64 // by calls under way
}

// Free is what further calls can still cost, reserved or not.
func (b Budget) Free() int64 { return b.Limit - b.Spent - b.Held }

// Fits reports whether n more tokens are within what the journal has reserved.
func (b Budget) Fits(n int64) bool { return b.Spent+b.Held+n <= b.Reserved }

// WithHold holds n tokens for a call.
func (b Budget) WithHold(n int64) Budget {
	b.Held += n
	return b
}

// WithSettled ends a call that held n tokens and cost spent.
func (b Budget) WithSettled(n, spent int64) Budget {
	b.Held -= n
	b.Spent += spent
	return b
}

// WithReserved notes that the journal has the reservation.
func (b Budget) WithReserved(total int64) Budget {
	b.Reserved = total
	return b
}

// WithAsked notes that a reservation up to total waits for the journal.
func (b Budget) WithRequested(total int64) Budget {
	b.Requested = total
	return b
}

// Ahead returns the reservation to ask for so that n tokens fit with a block to
// spare, and whether that is more than was asked for already.
func (b Budget) NextReservation(n, block int64) (total int64, more bool) {
	total = min(b.Limit, b.Spent+b.Held+n+block)
	return total, total > max(b.Requested, b.Reserved)
}

// Recovered is the budget as a new owner must take it: all that the journal
// reserved counts as spent, because the former owner may have spent it without
// getting to say so.
func (b Budget) Recovered() Budget {
	return Budget{Limit: b.Limit, Reserved: b.Reserved, Requested: b.Reserved, Spent: max(b.Spent, b.Reserved)}
}
