// Package vmhttp reads the platform's list of VMs over HTTP: a GET of Path returns
// a JSON list.
package vmhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
)

// Path is the path of the list.
const Path = "/vms"

type (
	// Client implements vmlist.List.
	Client struct {
		Endpoint httpc.Endpoint
	}
)

// VMs implements vmlist.List.
func (c *Client) VMs(ctx context.Context) (vms []vmlist.VM, err error) {
	defer func() { err = errors.Wrap(err, "vm list") }()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI(Path)
	if err := c.Endpoint.Do(ctx, &req, &resp); err != nil {
		return nil, err
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	err = json.Unmarshal(resp.Body(), &vms)
	return vms, err
}
