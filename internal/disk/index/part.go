package index

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/slaterock/slaterock/internal/disk/seglog"
)

type (
	// Part is one event of a stored turn that its caller may take up again at another daemon. It is durable
	// before the caller gets the event, so that what the caller has is known there.
	Part struct {
		Attempt    string `cbor:"1,keyasint,omitempty"` // left out in a record, which has it
		Stream     string `cbor:"2,keyasint,omitempty"` // the attempt that began the stream
		Request    uint64 `cbor:"3,keyasint,omitempty"` // as in Run
		Resumption int    `cbor:"4,keyasint,omitempty"` // of the stream, by this attempt; 0 for the one that began it
		Seq        int    `cbor:"5,keyasint,omitempty"` // in the attempt, from 0
		EventID    string `cbor:"6,keyasint,omitempty"` // empty for an event without id
		Data       []byte `cbor:"7,keyasint,omitempty"` // as in Turn.Output; of the first part of a resumption, all that comes before
	}

	partKey struct {
		attempt string
		seq     int
	}

	// part is where a part is, with what it is looked up by.
	part struct {
		stream  string
		request uint64
		pos     seglog.Pos
	}
)

func (p *program) addPart(r Record, pos seglog.Pos) {
	if p.parts == nil {
		p.parts = map[partKey]part{}
	}
	p.parts[r.partKey()] = part{stream: r.Part.Stream, request: r.Part.Request, pos: pos}
}

func (r Record) partKey() partKey { return partKey{r.Attempt, r.Part.Seq} }

// Parts returns the positions of the parts of a request's streams, and of the stream of a program.
func (ix *Index) Parts(name string, request uint64, stream string) (list []seglog.Pos) {
	p := ix.programs[name]
	if p == nil {
		return nil
	}
	for _, part := range p.parts {
		if part.request == request || stream != "" && part.stream == stream {
			list = append(list, part.pos)
		}
	}
	return list
}

// OutputUpTo returns the output of a stream up to the event with the id, which is what a caller has that takes
// the stream up after it, and how often it was taken up before. It returns false if the parts do not
// tell: some are missing, or two resumptions went on in different ways.
func OutputUpTo(parts []Part, stream, eventID string) (output []byte, resumptions int, ok bool) {
	attempts := map[string][]Part{}
	for _, p := range parts {
		if p.Stream == stream {
			attempts[p.Attempt] = append(attempts[p.Attempt], p)
			resumptions = max(resumptions, p.Resumption)
		}
	}
	newest, differ := -1, false
	for _, list := range attempts {
		got, found := joined(list, eventID)
		n := list[0].Resumption
		if !found || n < newest {
			continue
		}
		differ = n == newest && (differ || !bytes.Equal(got, output))
		output, newest = got, n
	}
	return output, resumptions, newest >= 0 && !differ
}

// joined returns the data of an attempt's parts up to the event with the id.
func joined(parts []Part, eventID string) (data []byte, ok bool) {
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Seq, b.Seq) })
	for i, p := range parts {
		if p.Seq != i {
			return nil, false
		}
		data = append(data, p.Data...)
		if p.EventID == eventID {
			return data, true
		}
	}
	return nil, false
}
