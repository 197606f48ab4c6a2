package link

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Invoker calls a method at one daemon. A *Peer is one.
type Invoker interface {
	Invoke(ctx context.Context, name string, params, out any) error
}

// Ask invokes a method that Answer has made. In and what out points to are the
// types of that method; with a nil out the answer is not looked at.
func InvokeTyped(ctx context.Context, p Invoker, name string, in, out any) error {
	data, err := cbor.Marshal(in)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	var raw Raw
	if err = p.Invoke(ctx, name, Raw(data), &raw); err != nil || out == nil {
		return err
	}
	return errors.Wrapf(cbor.Unmarshal(raw, out), "decode answer to %s", name)
}

// Answer makes a Handler of a function, whose types travel in CBOR: records and
// knowledge of the fleet have bytes in them, which JSON would blow up by a third.
func TypedHandler[In, Out any](serve func(context.Context, In) (Out, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := cbor.Unmarshal(params, &in); err != nil {
			return nil, errors.Wrap(err, "decode")
		}
		out, err := serve(ctx, in)
		if err != nil {
			return nil, err
		}
		data, err := cbor.Marshal(out)
		return Raw(data), errors.Wrap(err, "encode")
	}
}
