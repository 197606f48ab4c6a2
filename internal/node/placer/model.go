package placer

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/loader"
	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	admitTimeout = 5 * time.Second
	loadTimeout  = 10 * time.Minute
)

// declareModels sets the models that each engine is to have loaded. Engines without a list of
// models serve all that their group does and get no load orders.
func (p *Placer) declareModels(ctx context.Context, f file.File) {
	models := map[string][]string{}
	for name, u := range f.Upstreams {
		if f.Groups[u.Group].Kind == file.Engines && len(u.Models) > 0 {
			models[name] = u.Models
		}
	}
	p.stepLoader(ctx, loader.Declare{Models: models})
}

func (p *Placer) stepLoader(ctx context.Context, m loader.Message) {
	for _, e := range p.loader.Step(time.Now(), m) {
		switch e := e.(type) {
		case loader.Admit:
			p.Go(func() { p.admit(ctx, e) })
		case loader.Load:
			p.Go(func() { p.load(ctx, e) })
		}
	}
}

func (p *Placer) admit(ctx context.Context, e loader.Admit) {
	m := loader.AdmitResult{Upstream: e.Upstream}
	if p.Weights != nil {
		callCtx, stop := context.WithTimeout(ctx, admitTimeout)
		defer stop()
		m.Wait, m.Err = p.Weights.Admit(callCtx, e.Model)
	}
	p.runInLoop(ctx, func() { p.stepLoader(ctx, m) })
}

func (p *Placer) load(ctx context.Context, e loader.Load) {
	callCtx, stop := context.WithTimeout(ctx, loadTimeout)
	defer stop()
	m := loader.LoadResult{Upstream: e.Upstream, Model: e.Model}
	fence, responsible := p.Fence(e.Upstream)
	if !responsible {
		m.Err = errNotResponsible
	} else {
		address := p.address(ctx, e.Upstream)
		m.Err = p.Engine(address).Order(callCtx, engine.Order{Kind: engine.OrderLoad, Target: e.Model, Fence: fence})
	}
	p.runInLoop(ctx, func() {
		if m.Err != nil {
			p.Log.Warn().Err(m.Err).Str("upstream", e.Upstream).Str("model", e.Model).Msg("model not loaded")
		}
		p.stepLoader(ctx, m)
	})
}

// address returns the upstream's current address. It reads it on the placer's goroutine.
func (p *Placer) address(ctx context.Context, upstream string) string {
	ch := make(chan string, 1)
	p.runInLoop(ctx, func() { ch <- p.cfg.Upstreams[upstream].Address })
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
		return ""
	}
}
