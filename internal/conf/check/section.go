package check

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

type (
	// Section is one section of a Text. Name is the whole header, Kind the part before the
	// first dot and Label the part after it.
	Section struct {
		Name, Kind, Label string
		Line              int

		text     *Text
		pairs    []pair
		read     []string // keys requested by the caller
		rejected bool
	}
)

// Has reports whether the key is given.
func (s *Section) Has(key string) bool { return s.line(key) > 0 }

// Require adds an error for each of the keys that the section lacks.
func (s *Section) Require(keys ...string) {
	for _, key := range keys {
		if !s.Has(key) {
			s.Fail(key, "the key is missing; want it in this section")
		}
	}
}

// Reject adds an error for the section itself. Its keys are not checked for unknown ones.
func (s *Section) Reject(format string, args ...any) {
	s.rejected = true
	s.Fail("", format, args...)
}

// Fail adds an error at the key's line, or at the section header if the key is not given.
func (s *Section) Fail(key, format string, args ...any) {
	line := s.line(key)
	if line == 0 {
		line = s.Line
	}
	s.text.addError(line, s.Name, key, format, args...)
}

// String returns the value as it is. Like the other readers it returns def if the key is not
// given.
func (s *Section) String(key, def string) string {
	value, ok := s.value(key)
	if !ok {
		return def
	}
	return value
}

// Word reads a name of letters, digits, '.', '_' and '-'.
func (s *Section) Word(key, def string) string {
	value, ok := s.value(key)
	if !ok {
		return def
	}
	if !wordPattern.MatchString(value) {
		s.Fail(key, "%q is not a name; want 1 to 128 letters, digits, '.', '_' and '-'", value)
		return def
	}
	return value
}

// Choice reads a value that must be one of the words.
func (s *Section) Choice(key, def string, words ...string) string {
	value, ok := s.value(key)
	if !ok {
		return def
	}
	if !slices.Contains(words, value) {
		s.Fail(key, "%q is not known; want one of %s", value, strings.Join(words, ", "))
		return def
	}
	return value
}

// Words reads a comma-separated list without empty or duplicate items.
func (s *Section) Words(key string) (words []string) {
	value, ok := s.value(key)
	if !ok {
		return nil
	}
	for word := range strings.SplitSeq(value, ",") {
		word = strings.TrimSpace(word)
		switch {
		case word == "":
			s.Fail(key, "%q has an empty item; want words with commas between them", value)
		case slices.Contains(words, word):
			s.Fail(key, "%q stands twice; want it once", word)
		default:
			words = append(words, word)
		}
	}
	return words
}

// Bool reads true or false.
func (s *Section) Bool(key string, def bool) bool {
	word := s.Choice(key, strconv.FormatBool(def), "true", "false")
	return word == "true"
}

// Int reads an integer from low to high.
func (s *Section) Int(key string, def, low, high int64) int64 {
	value, ok := s.value(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		s.Fail(key, "%q is not a number; want %d to %d", value, low, high)
		return def
	}
	if n < low || n > high {
		s.Fail(key, "%d is out of range; want %d to %d", n, low, high)
		return def
	}
	return n
}

// Float reads a number from low to high.
func (s *Section) Float(key string, def, low, high float64) float64 {
	value, ok := s.value(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		s.Fail(key, "%q is not a number; want %v to %v", value, low, high)
		return def
	}
	if !(n >= low && n <= high) { // written so that NaN fails too
		s.Fail(key, "%v is out of range; want %v to %v", n, low, high)
		return def
	}
	return n
}

// Duration reads a Go duration from low to high.
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	value, ok := s.value(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		s.Fail(key, "%q is not a duration such as 30s; want %s to %s", value, shortDuration(low), shortDuration(high))
		return def
	}
	if d < low || d > high {
		s.Fail(key, "%s is out of range; want %s to %s", value, shortDuration(low), shortDuration(high))
		return def
	}
	return d
}

// Address reads an IP address and port that other hosts can reach. Host names are rejected: DNS
// may be down when they are needed.
func (s *Section) Address(key, def string) string {
	value, ok := s.value(key)
	if !ok {
		return def
	}
	a, err := parseAddress(value)
	if err != nil {
		s.Fail(key, "%v", err)
		return def
	}
	return a
}

// Addresses reads a comma-separated list of addresses as Address accepts them.
func (s *Section) Addresses(key string) (list []string) {
	for _, word := range s.Words(key) {
		a, err := parseAddress(word)
		if err != nil {
			s.Fail(key, "%v", err)
			continue
		}
		list = append(list, a)
	}
	return list
}

// Listen reads an address to listen on. Unlike in Address the IP may be unspecified, and port 0
// lets the system choose one.
func (s *Section) Listen(key, def string) string {
	value, ok := s.value(key)
	if !ok {
		return def
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		s.Fail(key, "%q is not an address; want an IP number and a port such as 0.0.0.0:7400", value)
		return def
	}
	return a.String()
}

func (s *Section) value(key string) (string, bool) {
	s.read = append(s.read, key)
	for _, p := range s.pairs {
		if p.key == key {
			return p.value, true
		}
	}
	return "", false
}

func (s *Section) line(key string) int {
	for _, p := range s.pairs {
		if p.key == key {
			return p.line
		}
	}
	return 0
}

// reportUnknown adds an error for each key that the caller did not read. A misspelt key would
// otherwise leave its default active without notice.
func (s *Section) reportUnknown() {
	if s.rejected {
		return
	}
	for _, p := range s.pairs {
		if !slices.Contains(s.read, p.key) {
			s.Fail(p.key, "the key is unknown; want one of %s", strings.Join(s.read, ", "))
		}
	}
}

// shortDuration formats a duration without the zero units that Go appends: 1h, not 1h0m0s.
func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Unspecified reports whether the address has the unspecified IP, which means every interface.
func Unspecified(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsUnspecified()
}

func parseAddress(value string) (address string, err error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return "", fmt.Errorf("%q is not an address; want an IP number and a port such as 10.1.0.7:7400", value)
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		return "", fmt.Errorf("%q can't be reached; want one host's IP number and a port from 1 to 65535", value)
	}
	return a.String(), nil
}

// Or returns value, or def if value is zero.
func Or[T comparable](value, def T) T {
	var zero T
	if value == zero {
		return def
	}
	return value
}
