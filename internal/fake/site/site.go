// Package site starts fakes of the whole platform: the key-value service, the VM
// list, the weight store, two model engines and one plain service, each with its
// own address.
//
// Tests make assertions on the fakes and switch their faults on directly, and can
// close or blackhole the connections of their servers. Other processes connect to
// the fakes over TCP; see Address. Close stops all.
package site

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/fake/ledger"
	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/fake/vmset"
	"github.com/slaterock/slaterock/internal/fake/weight"
)

// The parts of a site.
const (
	Store   Part = "store"
	VMs     Part = "vms"
	Weights Part = "weights"
	Engine1 Part = "e1"
	Engine2 Part = "e2"
	Ledger  Part = "ledger"
)

const anyPort = "127.0.0.1:0"

type (
	// Part is the name of one fake.
	Part string

	// Site is the set of fakes. The zero value listens on ports that the
	// operating system chooses.
	Site struct {
		Listen map[Part]string // listen addresses; the default is a free port
		Speed  float64         // of the engines, see model.Engine; 0 means 1

		Store   keyval.Store
		VMs     vmset.Set
		Weights weight.Weights
		E1, E2  model.Engine
		Ledger  ledger.Service

		running map[Part]*server.HTTP
	}
)

// Start starts all parts; if one fails, it stops the others. The context applies
// to the start only.
func (s *Site) Start(ctx context.Context) (err error) {
	defer func() {
		err = errors.Wrap(err, "start fake platform")
		if err != nil {
			s.Close()
		}
	}()
	s.configureEngines()
	s.running = map[Part]*server.HTTP{}
	for p, serve := range s.servers() {
		var l net.ListenConfig
		ln, err := l.Listen(ctx, "tcp", s.listenAddress(p))
		if err != nil {
			return err
		}
		s.running[p] = serve(ln)
	}
	return nil
}

// Address returns the part's IP address and port.
func (s *Site) Address(p Part) string { return s.running[p].Address() }

// HTTP returns the part's server, whose connections can be made to fail.
func (s *Site) HTTP(p Part) *server.HTTP { return s.running[p] }

// Close stops all parts.
func (s *Site) Close() {
	for _, h := range s.running {
		h.Close()
	}
	s.running = nil
}

// Engine returns the engine with the address or name target, or nil.
func (s *Site) Engine(target string) *model.Engine {
	for p, e := range map[Part]*model.Engine{Engine1: &s.E1, Engine2: &s.E2} {
		if target == string(p) || s.running[p] != nil && target == s.running[p].Address() {
			return e
		}
	}
	return nil
}

func (s *Site) configureEngines() {
	for p, e := range map[Part]*model.Engine{Engine1: &s.E1, Engine2: &s.E2} {
		e.Name = string(p)
		e.Peer = s.Engine
		if e.Speed == 0 {
			e.Speed = s.Speed
		}
	}
}

func (s *Site) servers() map[Part]func(net.Listener) *server.HTTP {
	return map[Part]func(net.Listener) *server.HTTP{
		Store:   func(ln net.Listener) *server.HTTP { return keyval.Serve(ln, &s.Store) },
		VMs:     func(ln net.Listener) *server.HTTP { return vmset.Serve(ln, &s.VMs) },
		Weights: func(ln net.Listener) *server.HTTP { return weight.Serve(ln, &s.Weights) },
		Engine1: func(ln net.Listener) *server.HTTP { return model.Serve(ln, &s.E1) },
		Engine2: func(ln net.Listener) *server.HTTP { return model.Serve(ln, &s.E2) },
		Ledger:  func(ln net.Listener) *server.HTTP { return ledger.Serve(ln, &s.Ledger) },
	}
}

func (s *Site) listenAddress(p Part) string {
	if a, ok := s.Listen[p]; ok {
		return a
	}
	return anyPort
}
