// Package check reads an INI text strictly and says everything that is wrong
// with it at once, each fault with file, line, section, key and what would be
// valid.
//
// Read a Text, walk its Sections, and ask each for its keys with the bounds
// that hold: a value that is missing gives the default, a wrong one is noted
// and gives the default too, so that reading goes on. Keys that nobody asked
// for are unknown. Err returns what was noted:
//
//	t := check.Read("mafuta.ini", data)
//	for _, s := range t.Sections() {
//		n := s.Int("max_turns", 320, 1, 10_000)
//	}
//	err := t.Err()
//
// Values are read by the INI library, which knows no lines; those come from a
// scan that reads no values.
package check

import (
	"fmt"
	"strings"
)

const maxMessage = 400 // bytes; a value or a list of names may be long

type (
	// Text is one INI text while it is checked.
	Text struct {
		name     string
		sections []*Section
		byName   map[string]*Section
		errs     Errors
	}
)

// Read reads the text; name is its file's, for messages.
func Read(name string, text []byte) *Text {
	t := &Text{name: name, byName: map[string]*Section{}}
	s := scanner{text: t}
	s.scan(text)
	return t
}

// Sections returns the sections in the text's order.
func (t *Text) Sections() []*Section { return t.sections }

// Find returns the section with the whole name, or nil.
func (t *Text) Find(name string) *Section { return t.byName[name] }

// Require notes each of the sections that the text lacks.
func (t *Text) Require(names ...string) {
	for _, name := range names {
		if t.byName[name] == nil {
			t.addError(1, name, "", "the section is missing; want it once")
		}
	}
}

// Err returns all faults as Errors, nil if there are none.
func (t *Text) Err() error {
	for _, s := range t.sections {
		s.reportUnknown()
	}
	if len(t.errs) == 0 {
		return nil
	}
	return t.errs.sorted()
}

func (t *Text) addSection(name string, line int) *Section {
	kind, label, _ := strings.Cut(name, ".")
	s := &Section{Name: name, Kind: kind, Label: label, Line: line, text: t}
	t.sections = append(t.sections, s)
	t.byName[name] = s
	return s
}

func (t *Text) addError(line int, section, key, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessage {
		message = strings.ToValidUTF8(message[:maxMessage], "") + " ..."
	}
	t.errs = append(t.errs, Error{File: t.name, Line: line, Section: section, Key: key, Message: message})
}
