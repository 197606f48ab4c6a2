package recap

import (
	"testing"

	"github.com/matryer/is"
)

// Two attempts overlap. Of the earlier one only the time before the later one counts, which is
// that of the records: a request waits for its account's limit after it has read them.
func TestOverlapKeepsFirstParts(t *testing.T) {
	is := is.New(t)
	earlier := spanOf(&Line{Kind: kindStream, End: 300, Took: 300, Recorded: 100, LimitWait: 100, Queued: 100, Ran: ranNo})
	later := spanOf(&Line{Kind: kindStream, End: 400, Took: 300, First: 1, Ran: ranYes})
	whole := divide([]span{earlier, later})
	is.Equal(whole.parts[partRecords], int64(100))
	is.Equal(whole.parts[partLimit], int64(0))
}
