// Package order classifies a call by its number alone: as the program's next
// call, as early, as a repeat of the call in progress, or as a repeat of one
// that has ended.
//
// A program's calls run one at a time and in the order of their numbers. This
// guarantees that they reach the engines in the order in which they were made,
// whichever connections and daemons they arrived through.
package order

const (
	// Run is the program's next call.
	Run Class = iota
	// Early is a call with predecessors that have not ended.
	Early
	// Join repeats the call in progress.
	Join
	// Repeat repeats the newest call that ended; it may run once more if its
	// outcome isn't final.
	Repeat
	// Superseded is a call with a number below that of the newest call that
	// ended.
	Superseded
	// TooFar is a call that is Window or more ahead of the next and is refused.
	TooFar
)

const (
	// Window is the number of calls, from the next one on, that may wait for
	// their turn.
	Window = 16
)

type (
	// Class is a call's place in the order of its program's calls.
	Class int

	// Order is a program's position in its sequence of calls. The zero value is
	// a program before its first call. It is immutable: each change returns a
	// new value.
	Order struct {
		Next    int  // one above the highest call number that ended
		Running bool // the call Current is in progress
		Current int
	}
)

// Classify returns the class of the call with the given number.
func (o Order) Classify(number int) Class {
	switch {
	case o.Running && number == o.Current:
		return Join
	case number >= o.Next+Window:
		return TooFar
	case number > o.Next || number == o.Next && o.Running:
		return Early
	case number == o.Next:
		return Run
	case number == o.Next-1:
		return Repeat
	}
	return Superseded
}

// WithStarted returns the order with the call in progress.
func (o Order) WithStarted(number int) Order {
	o.Running, o.Current = true, number
	return o
}

// WithEnded returns the order after the end of the call in progress.
func (o Order) WithEnded() Order {
	o.Running = false
	o.Next = max(o.Next, o.Current+1)
	return o
}
