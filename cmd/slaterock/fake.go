package main

import (
	"fmt"
	"io"
	"sort"

	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/fake/site"
)

// fakeCommand runs the simulated platform and upstreams as a process of their own. It is a
// development tool.
func fakeCommand() *cobra.Command {
	s := site.Site{}
	listen := map[string]string{}
	c := &cobra.Command{
		Use:    "fake",
		Short:  "Run the simulated platform and upstreams",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s.Listen = map[site.Part]string{}
			for p, address := range listen {
				s.Listen[site.Part(p)] = address
			}
			if err := s.Start(c.Context()); err != nil {
				return err
			}
			defer s.Close()
			printAddresses(c.OutOrStdout(), &s)
			<-c.Context().Done()
			return nil
		},
	}
	c.Flags().StringToStringVar(&listen, "listen", nil, "addresses by part: store, vms, weights, e1, e2, ledger")
	c.Flags().Float64Var(&s.Speed, "speed", 1, "speed of the engines")
	return c
}

// printAddresses prints one line with name and address for each part, then the line "ready".
func printAddresses(w io.Writer, s *site.Site) {
	parts := []string{}
	for _, p := range []site.Part{site.Store, site.VMs, site.Weights, site.Engine1, site.Engine2, site.Ledger} {
		parts = append(parts, fmt.Sprintf("%s %s", p, s.Address(p)))
	}
	sort.Strings(parts)
	for _, p := range parts {
		_, _ = fmt.Fprintln(w, p)
	}
	_, _ = fmt.Fprintln(w, "ready")
}
