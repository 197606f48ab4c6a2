package check

import (
	"bytes"
	"regexp"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

const (
	byteOrderMark = "\xef\xbb\xbf"
	maxLine       = 64 << 10 // bytes
	maxBatch      = 256      // sections passed to the INI library at a time
)

type (
	// pair is a key with its line number and value.
	pair struct {
		key, value string
		line       int
	}

	// scanner finds the lines of sections and keys; it does not parse values. What the INI
	// library would read differently from what an operator expects (a duplicate, a quoted block
	// over several lines) is reported here and left out of the text passed to the library. The
	// text is passed in batches of sections, because the library needs many times the memory of
	// its input.
	scanner struct {
		text    *Text
		clean   bytes.Buffer
		batch   []*Section        // sections whose lines are in clean
		keys    map[string]string // interned key names
		section *Section
		skip    bool // inside a section whose header was rejected
		line    int
	}
)

var (
	sectionPattern = regexp.MustCompile(`^[a-z][a-z0-9_]*(\.[A-Za-z0-9][A-Za-z0-9._-]{0,127})?$`)
	wordPattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	keyPattern     = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
)

func (s *scanner) scan(text []byte) {
	text = bytes.TrimPrefix(text, []byte(byteOrderMark))
	for raw := range bytes.Lines(text) {
		s.line++
		s.scanLine(bytes.TrimSpace(raw))
	}
	s.flush()
}

func (s *scanner) scanLine(line []byte) {
	switch {
	case len(line) == 0, line[0] == '#', line[0] == ';':
	case len(line) > maxLine:
		s.fail("", "the line is too long; want at most 65536 bytes")
	case !printable(line):
		s.fail("", "the line holds control characters or is not UTF-8; want plain text")
	case line[0] == '[':
		s.header(line)
	default:
		s.pair(line)
	}
}

func (s *scanner) header(line []byte) {
	s.skip, s.section = true, nil
	name, rest, ok := bytes.Cut(line[1:], []byte("]"))
	rest = bytes.TrimSpace(rest)
	if !ok || len(rest) > 0 && rest[0] != '#' && rest[0] != ';' {
		s.fail("", "the section's header is not complete; want [section] or [section.name]")
		return
	}
	if !sectionPattern.Match(name) {
		s.fail("", "%q is not a section's name; want lower case, then a dot and a name of letters, digits, '.', '_' and '-'", name)
		return
	}
	if first, ok := s.text.byName[string(name)]; ok {
		s.text.addError(s.line, string(name), "", "the section stands twice, first on line %d; want it once", first.Line)
		return
	}
	if len(s.batch) == maxBatch {
		s.flush()
	}
	s.skip = false
	s.section = s.text.addSection(string(name), s.line)
	s.batch = append(s.batch, s.section)
	s.clean.WriteString("[" + string(name) + "]\n")
}

func (s *scanner) pair(line []byte) {
	if s.skip {
		return
	}
	if s.section == nil {
		s.fail("", "the line stands before the first section; want a [section] above it")
		return
	}
	key, value, ok := bytes.Cut(line, []byte("="))
	key, value = bytes.TrimSpace(key), bytes.TrimSpace(value)
	if !ok || !keyPattern.Match(key) {
		s.fail("", "%q is not a setting; want key = value with a key in lower case", line)
		return
	}
	if value := string(value); len(value) > 0 && (value[0] == '`' || len(value) > 2 && value[:3] == `"""`) {
		s.fail(string(key), "quoted blocks are not read; want the value on one line")
		return
	}
	if first := s.section.line(string(key)); first > 0 {
		s.fail(string(key), "the key stands twice, first on line %d; want it once", first)
		return
	}
	s.section.pairs = append(s.section.pairs, pair{key: s.intern(key), line: s.line})
	s.clean.Write(line)
	s.clean.WriteByte('\n')
}

// flush parses the values of the sections scanned since the last flush.
func (s *scanner) flush() {
	values, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true, // a path may end with a backslash
		SpaceBeforeInlineComment: true, // an address or a hash may contain # and ;
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00", // sections inherit no keys from each other
	}, s.clean.Bytes())
	for _, sec := range s.batch {
		if err != nil {
			sec.Reject("the section can't be read: %v", err)
			continue
		}
		for i := range sec.pairs {
			sec.pairs[i].value = values.Section(sec.Name).Key(sec.pairs[i].key).Value()
		}
	}
	s.batch = s.batch[:0]
	s.clean.Reset()
}

// intern returns the key as a string shared by all sections, to save memory.
func (s *scanner) intern(key []byte) string {
	if interned, ok := s.keys[string(key)]; ok {
		return interned
	}
	if s.keys == nil {
		s.keys = map[string]string{}
	}
	s.keys[string(key)] = string(key)
	return s.keys[string(key)]
}

func (s *scanner) fail(key, format string, args ...any) {
	name := ""
	if s.section != nil {
		name = s.section.Name
	}
	s.text.addError(s.line, name, key, format, args...)
}

func printable(line []byte) bool {
	control := bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
	return !control && utf8.Valid(line)
}
