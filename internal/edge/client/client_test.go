package client

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/broken"
)

// Guards against a broken response of a daemon that passes for its answer.
func TestBrokenResponses(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	calls := map[string]func(c Client) (taken bool){
		"service": func(c Client) bool {
			a, err := c.Service(t.Context(), "p", 0, "s/x", nil)
			return err == nil || a.Complete
		},
		"chat": func(c Client) bool {
			a, err := c.Chat(t.Context(), "p", 0, 10, nil, nil)
			return err == nil || a.Complete
		},
		"send": func(c Client) bool {
			status, _, err := c.Send(t.Context(), "GET", "/", nil)
			return err == nil || status > 0
		},
		"json": func(c Client) bool { return c.JSON(t.Context(), "POST", "/", nil, nil) == nil },
	}
	responses := map[string]string{
		"whole":               whole,
		"status 000":          broken.Statuses(whole)["HTTP/1.1 000"],
		"000 before it":       broken.Statuses(whole)["000, then a whole one"],
		"blank in a name":     broken.Names(whole)["blank inside"],
		"blank in the length": broken.Names(whole)["Content-Length, blank before the colon"],
	}
	for what, response := range responses {
		for name, call := range calls {
			t.Run(name+", "+what, func(t *testing.T) {
				is := is.New(t)
				var lc net.ListenConfig
				ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer func() { _ = ln.Close() }()
				go broken.Serve(ln, response)
				is.Equal(call(Client{Address: ln.Addr().String(), Key: "k"}), what == "whole")
			})
		}
	}
}
