// Package check reads INI files strictly. It reports all faults at once, each with file, line,
// section, key and what would be valid.
//
// Read a Text, iterate over its Sections, and read the keys of each with default and bounds: a
// missing key gives the default; an invalid value adds an error and gives the default too, so
// that reading goes on. Keys that were not read are reported as unknown. Err returns the
// errors:
//
//	t := check.Read("mafuta.ini", data)
//	for _, s := range t.Sections() {
//		n := s.Int("max_turns", 320, 1, 10_000)
//	}
//	err := t.Err()
//
// Values are parsed by the INI library, which reports no line numbers; a separate scan finds
// the lines and parses no values.
package check

import (
	"fmt"
	"strings"
)

const maxMessage = 400 // bytes; messages quote values and lists of names, which may be long

type (
	// Text is one INI text and the errors found in it.
	Text struct {
		name     string
		sections []*Section
		byName   map[string]*Section
		errs     Errors
	}
)

// Read scans the text; name is the file name used in messages.
func Read(name string, text []byte) *Text {
	t := &Text{name: name, byName: map[string]*Section{}}
	s := scanner{text: t}
	s.scan(text)
	return t
}

// Sections returns the sections in file order.
func (t *Text) Sections() []*Section { return t.sections }

// Find returns the section with the full name, or nil.
func (t *Text) Find(name string) *Section { return t.byName[name] }

// Require adds an error for each of the sections that the text lacks.
func (t *Text) Require(names ...string) {
	for _, name := range names {
		if t.byName[name] == nil {
			t.addError(1, name, "", "the section is missing; want it once")
		}
	}
}

// Err returns all faults as Errors, or nil. Call it after all keys were read.
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
