// Package order decides what becomes of a call from its number alone: whether
// it is the program's next, came early, repeats one under way, or repeats one
// that has ended.
//
// A program's calls run one at a time and in the order of their numbers. That
// is what makes "the calls reach the engines in the order made" true whichever
// connections and daemons they came over.
package order

const (
	// Run is the program's next call.
	Run Class = iota
	// Early is a call whose predecessors have not ended.
	Early
	// Join repeats the call under way.
	Join
	// Again repeats the newest call that ended; it may run once more if its
	// outcome isn't final.
	Repeat
	// Past repeats a call that ended before others ran after it.
	Superseded
	// Far is a call too far ahead to wait for.
	TooFar
)

const (
	// Window is how far ahead of the next call a call may wait.
	Window = 16
)

type (
	// Verdict tells what to do with a call.
	Class int

	// Order is one program's place in its chain of calls. The zero value is a
	// program before its first call. It is a value: each change returns a new
	// one.
	Order struct {
		Next    int  // one above the highest call that ended
		Running bool // the call Current is under way
		Current int
	}
)

// Judge tells what to do with the call of the given number.
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

// WithStarted notes that the call runs.
func (o Order) WithStarted(number int) Order {
	o.Running, o.Current = true, number
	return o
}

// WithEnded notes that the call under way has ended.
func (o Order) WithEnded() Order {
	o.Running = false
	o.Next = max(o.Next, o.Current+1)
	return o
}
