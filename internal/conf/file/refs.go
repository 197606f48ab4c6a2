package file

import (
	"maps"
	"slices"
	"strings"

	"github.com/slaterock/slaterock/internal/conf/check"
)

// checkReferences checks the names by which sections refer to each other. An unresolved name
// would otherwise show only when the first program is refused.
func (p *parser) checkReferences() {
	for _, s := range p.text.Sections() {
		switch s.Kind {
		case kindAgent:
			p.checkReference(s, "model", p.file.Agents[s.Label].Model, kindModel, slices.Sorted(maps.Keys(p.file.Models)))
		case kindModel:
			p.checkGroupReference(s, p.file.Models[s.Label].Group, Engines)
		case kindService:
			p.checkGroupReference(s, p.file.Services[s.Label].Group, Services)
		case kindUpstream:
			p.checkUpstreamModels(s, p.file.Upstreams[s.Label])
		}
	}
	p.checkGroups()
	p.checkAddresses()
	p.checkHashes()
}

// checkReference adds an error if name is not among the declared sections of the kind. A
// missing key was reported before.
func (p *parser) checkReference(s *check.Section, key, name, kind string, declared []string) bool {
	if !s.Has(key) {
		return false
	}
	if slices.Contains(declared, name) {
		return true
	}
	want := "a section [" + kind + ".NAME]"
	if len(declared) > 0 {
		want = "one of " + strings.Join(declared, ", ")
	}
	s.Fail(key, "%q is not declared as a %s; want %s", name, kind, want)
	return false
}

func (p *parser) checkGroupReference(s *check.Section, name string, kind GroupKind) {
	if !p.checkReference(s, "group", name, kindGroup, p.groupNames()) {
		return
	}
	if g := p.file.Groups[name]; g.Kind != kind && g.Kind != "" {
		s.Fail("group", "%q is a group of kind %s; want a group of kind %s", name, g.Kind, kind)
	}
}

func (p *parser) groupNames() []string { return slices.Sorted(maps.Keys(p.file.Groups)) }

func (p *parser) checkUpstreamModels(s *check.Section, u Upstream) {
	if !p.checkReference(s, "group", u.Group, kindGroup, p.groupNames()) {
		return
	}
	if len(u.Models) > 0 && p.file.Groups[u.Group].Kind == Services {
		s.Fail("models", "the upstream's group %q is of kind %s; want no models", u.Group, Services)
		return
	}
	for _, name := range u.Models {
		if m, ok := p.file.Models[name]; !ok || m.Group != u.Group {
			s.Fail("models", "%q is not declared as a model of group %q; want one of %s", name, u.Group, strings.Join(p.modelsOf(u.Group), ", "))
		}
	}
}

func (p *parser) modelsOf(group string) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(p.file.Models)) {
		if p.file.Models[name].Group == group {
			names = append(names, name)
		}
	}
	return names
}

// checkGroups adds an error for each group without upstreams, and for each model that no
// upstream of its group serves: their requests would never be served.
func (p *parser) checkGroups() {
	members := map[string][]Upstream{}
	for _, u := range p.file.Upstreams {
		members[u.Group] = append(members[u.Group], u)
	}
	for _, s := range p.text.Sections() {
		switch s.Kind {
		case kindGroup:
			if len(members[s.Label]) == 0 {
				s.Fail("", "the group is empty; want at least one [upstream.NAME] with group = %s", s.Label)
			}
		case kindModel:
			upstreams := members[p.file.Models[s.Label].Group]
			served := slices.ContainsFunc(upstreams, func(u Upstream) bool {
				return len(u.Models) == 0 || slices.Contains(u.Models, s.Label)
			})
			if len(upstreams) > 0 && !served {
				s.Fail("group", "no upstream of the group serves the model; want it in the models of one, or one without models")
			}
		}
	}
}

// checkAddresses adds an error for an address shared by two upstreams: each would be scheduled
// with a capacity of its own, so the one machine would get twice its load.
func (p *parser) checkAddresses() {
	first := map[string]string{}
	for _, s := range p.text.Sections() {
		address := p.file.Upstreams[s.Label].Address
		if s.Kind != kindUpstream || address == "" {
			continue
		}
		if other, ok := first[address]; ok {
			s.Fail("address", "%s is the address of [%s] already; want one upstream at an address", address, other)
			continue
		}
		first[address] = s.Name
	}
}

// checkHashes adds an error for a key hash shared by two accounts. A key starts with its
// account's name, so a shared hash must have been copied by mistake.
func (p *parser) checkHashes() {
	first := map[string]string{}
	for _, s := range p.text.Sections() {
		hash := p.file.Accounts[s.Label].KeyHash
		if s.Kind != kindAccount || hash == "" {
			continue
		}
		if other, ok := first[hash]; ok {
			s.Fail("key_hash", "the hash is that of [%s] already; want each account's own", other)
			continue
		}
		first[hash] = s.Name
	}
}
