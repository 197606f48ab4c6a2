// Package examples embeds example configurations.
package examples

import _ "embed"

// Dev is the configuration that `slaterock dev` applies.
//
//go:embed dev.ini
var Dev string
