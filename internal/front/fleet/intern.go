package fleet

import "unique"

// intern returns the text with memory that all equal texts share: thousands of upstreams have
// the same service, failure domain and version.
func intern(text string) string { return unique.Make(text).Value() }
