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

// InvokeTyped invokes a method served by a TypedHandler. The types of in and of
// what out points to must be that method's; with a nil out the result is
// discarded. Errors are those of Invoke, or of encoding and decoding.
func InvokeTyped(ctx context.Context, p Invoker, name string, in, out any) error {
	data, err := cbor.Marshal(in)
	if err != nil {
		return errors.Wrapf(err, "encode parameters of %s", name)
	}
	var raw Raw
	if err = p.Invoke(ctx, name, Raw(data), &raw); err != nil || out == nil {
		return err
	}
	return errors.Wrapf(cbor.Unmarshal(raw, out), "decode result of %s", name)
}

// TypedHandler makes a Handler from a function and encodes its types in CBOR:
// records and fleet state contain bytes, which JSON would inflate by a third.
func TypedHandler[In, Out any](serve func(context.Context, In) (Out, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := cbor.Unmarshal(params, &in); err != nil {
			return nil, errors.Wrap(err, "decode parameters")
		}
		out, err := serve(ctx, in)
		if err != nil {
			return nil, err
		}
		data, err := cbor.Marshal(out)
		return Raw(data), errors.Wrap(err, "encode result")
	}
}
